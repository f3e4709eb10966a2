export { hash32, hash64, hashesReady, hashHex } from './hash'
export { hashPrompt, type PromptHashes } from './promptHashes'
export { rankByRendezvous } from './rendezvous'
