/** Wraps the entry task to log and measure every request. */
import type {FileSet} from '@buckthornbeam/config';
import type {TicketResult} from '@buckthornbeam/decisions';
import {toRouterError} from '@buckthornbeam/shared';
import type {Clock, Logger, Metrics, RouterError} from '@buckthornbeam/shared';
import type {AnswerChunk, ChatRequest} from './chat_request.js';
import type {Entry} from './entry.js';
import type {ServiceCall} from '../service_client.js';
import {checkTargets, createRequestRecorder} from './request_record.js';
import type {RequestRecord} from './request_record.js';

/** Options of {@link createRecordedEntry}. */
export interface RecordedEntryOptions {
  entry: Entry;
  clock: Clock;
  logger: Logger;
  metrics: Metrics;
  findFileSet: () => FileSet | undefined;
  /** Every n-th finished request is logged at info, besides all failures. */
  sampleEvery: number;
}

/** Tag for classes outside the file set; bounds the number of tag values. */
const UNKNOWN_CLASS = 'unknown';

/** Code of a successful request in logs and tags. */
const OK_CODE = 'ok';

interface FinishedRequest {
  request: ChatRequest;
  customerId: string;
  record: RequestRecord;
  error?: RouterError;
}

/** Creates an entry that records the results of another entry. */
export function createRecordedEntry(options: RecordedEntryOptions): Entry {
  const {entry, clock, logger, metrics, findFileSet, sampleEvery} = options;
  let finishedCount = 0;

  function countRequest(finishedRequest: FinishedRequest): void {
    const {request, record, error} = finishedRequest;
    const requestClass = findFileSet()?.classes.get(request.className);
    const tags = {class: requestClass?.name ?? UNKNOWN_CLASS};
    metrics.count('requests', 1, {...tags, code: error?.code ?? OK_CODE});
    metrics.count('tokens', record.tokens, tags);
    metrics.timing('request_ms', record.totalMs, tags);
    if (record.firstTokenMs !== undefined) {
      metrics.timing('first_token_ms', record.firstTokenMs, tags);
    }
    if (!requestClass) {
      return;
    }
    const targetResults = checkTargets(record, requestClass.targets, !error);
    for (const [target, isMet] of Object.entries(targetResults)) {
      metrics.count('targets', 1, {...tags, target, met: String(isMet)});
    }
  }

  function logRequest(finishedRequest: FinishedRequest): void {
    const {request, customerId, record, error} = finishedRequest;
    finishedCount += 1;
    const isLoggedAtInfo =
      error !== undefined || finishedCount % sampleEvery === 0;
    const write = isLoggedAtInfo ? logger.info : logger.debug;
    write('request', {
      request: request.requestId,
      class: request.className,
      customer: customerId,
      model: request.model,
      tokens: record.tokens,
      firstTokenMs: record.firstTokenMs && Math.round(record.firstTokenMs),
      totalMs: Math.round(record.totalMs),
      code: error?.code ?? OK_CODE,
      outcome: error?.outcome ?? 'completed',
      detail: error?.message,
    });
  }

  async function* answer(
    customerId: string,
    request: ChatRequest,
    signal: AbortSignal,
  ): AsyncGenerator<AnswerChunk> {
    const recorder = createRequestRecorder(clock.now());
    let error: RouterError | undefined;
    let isCompleted = false;
    try {
      for await (const chunk of entry.answer(customerId, request, signal)) {
        recorder.observe(chunk, clock.now());
        yield chunk;
      }
      isCompleted = true;
    } catch (failure) {
      error = toRouterError(failure);
      throw error;
    } finally {
      const record = recorder.finish(clock.now());
      // If the caller disconnects, the generator ends without an error.
      if (isCompleted || error) {
        const finishedRequest = {
          request,
          customerId,
          record,
          ...(error ? {error} : {}),
        };
        countRequest(finishedRequest);
        logRequest(finishedRequest);
      } else {
        metrics.count('requests_left', 1);
      }
    }
  }

  function recordCall<T extends TicketResult>(
    name: string,
    call: ServiceCall,
    result: T,
  ): T {
    const code = result.code || OK_CODE;
    const {outcome} = result;
    metrics.count(name, 1, {service: call.serviceName, code, outcome});
    logger.info(name, {
      service: call.serviceName,
      method: call.method,
      path: call.path,
      status: result.status,
      code,
      outcome,
    });
    return result;
  }

  return {
    ...entry,
    answer,
    callService: async call =>
      recordCall('service_call', call, await entry.callService(call)),
    executeTicket: async (customerId, ticketText, call) =>
      recordCall(
        'ticket_call',
        call,
        await entry.executeTicket(customerId, ticketText, call),
      ),
  };
}
