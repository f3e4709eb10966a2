/** Settings of the gossip between instances. */

/** Intervals of datagrams and of failure detection. */
export interface GossipTimings {
  /** Shortest interval between two datagrams to a peer, in milliseconds. */
  minGapMs: number
  /** Interval of full reports, in milliseconds; between them only load updates are sent. */
  heartbeatMs: number
  /** A peer from which nothing was received for this long is declared lost, in milliseconds. */
  silentAfterMs: number
}

export interface GossipSettings {
  /**
   * Maximum number of peers that receive every load update. With more peers the fleet is large: only peers in the same
   * failure domain (close peers) receive every update; the others (far peers) get digests and infrequent full reports.
   */
  maxClosePeers: number
  /** Maximum number of peers that are known, and of addresses that may be those of peers; others are ignored. */
  maxPeers?: number
  pace: GossipTimings
  paceOfLargeFleet: GossipTimings
  /** Factor by which the report interval and the failure detection timeout are longer for far peers. */
  farFactor: number
  /** Interval of digests on the use of targets in this failure domain, in milliseconds. */
  digestMs: number
}
