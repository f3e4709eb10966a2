export { contentHashOf, type OnceRequest, type RecordedAnswer } from './intent'
export {
  createOnceRecords, settleRefused,
  type OnceFinding, type OnceRecords, type OnceRecordsOptions, type OnceTicket, type RunState
} from './onceRecords'
export { createOwnerQuery, registerOnceService } from './onceService'
