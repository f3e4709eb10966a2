export * from './types'
export { createLeaseObserver, type LeaseObserverOptions } from './leaseObserver'
export { leaseRecord, parseLease, tryAcquireLease, type LeaseDeps, type LeaseRecord } from './tryAcquireLease'
