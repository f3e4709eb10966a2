/** How much instances tell each other, and how often. */

/** Times between datagrams. */
export interface GossipPace {
  /** Least time between two datagrams to a peer, in milliseconds. */
  minGapMs: number
  /** A whole report is sent this often, in milliseconds; between them only what changes often. */
  heartbeatMs: number
  /** A peer that was not heard for this long counts as gone, in milliseconds. */
  silentAfterMs: number
}

export interface GossipSettings {
  /**
   * Most peers that are told of each change. Where more are heard, the fleet is large: only peers in the same failure
   * domain are told of each change, the others are far and get a digest and, now and then, a whole report.
   */
  maxClosePeers: number
  pace: GossipPace
  paceOfLargeFleet: GossipPace
  /** How many times as seldom far peers get a report, and as late they count as gone. */
  farFactor: number
  /** Far peers hear of the use of the targets here this often, in milliseconds. */
  digestMs: number
}
