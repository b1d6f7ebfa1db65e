/** Shared utilities: time, errors, logs, metrics, hashes, random numbers. */
export {splitAddress} from './address.js';
export type {AddressParts} from './address.js';
export {createByteBuffer} from './byte_buffer.js';
export type {ByteBuffer, ByteBufferOptions} from './byte_buffer.js';
export {loadChart} from './chart.js';
export type {Chart} from './chart.js';
export {RouterError, errorTable, isErrorCode, toRouterError} from './errors.js';
export type {ErrorCode, RouterErrorOptions} from './errors.js';
export {
  computeDigest,
  createCachedHash,
  findByRendezvous,
  hashToUint32,
  rankByRendezvous,
} from './hash.js';
export {createLazyCache} from './lazy_cache.js';
export type {LazyCache} from './lazy_cache.js';
export {LogLevel, createLogger, formatFields, parseFields} from './logs.js';
export type {LogFields, LogValue, Logger, LoggerOptions} from './logs.js';
export {createMailbox} from './mailbox.js';
export type {
  Mailbox,
  MailboxOptions,
  MessageHandlers,
  TaskMessage,
} from './mailbox.js';
export {createMetrics} from './metrics.js';
export type {MetricTags, Metrics, MetricsOptions} from './metrics.js';
export {Outcome} from './outcomes.js';
export {createRandom, pickOne, pickSample} from './random.js';
export type {RandomSource} from './random.js';
export {
  addPacedSockets,
  countTurnPieces,
  createReadPacer,
} from './read_pacer.js';
export type {PacedBody, ReadPacer} from './read_pacer.js';
export {readText} from './read_text.js';
export {
  SECOND_MS,
  createManualClock,
  createSystemClock,
  waitFor,
} from './time.js';
export type {Clock, ManualClock} from './time.js';
