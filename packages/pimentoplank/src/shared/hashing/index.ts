export { hash32, hash64, hashHex } from './hash'
export { rankByRendezvous } from './rendezvous'
