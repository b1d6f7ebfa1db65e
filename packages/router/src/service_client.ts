/** HTTP client for plain services. */
import type {FileSet} from '@buckthornbeam/config';
import {ServiceState} from '@buckthornbeam/config';
import {
  AttemptEvent,
  createAttemptRecord,
  isConnectFailure,
} from '@buckthornbeam/decisions';
import type {TicketResult} from '@buckthornbeam/decisions';
import {Outcome, RouterError} from '@buckthornbeam/shared';
import {Agent, request} from 'undici';
import type {Dispatcher} from 'undici';

export interface ServiceCall {
  serviceName: string;
  method: string;
  path: string;
  contentType: string;
  body: Uint8Array;
}

/** Options of {@link createServiceClient}. */
export interface ServiceClientOptions {
  /** Largest accepted response body. */
  maximumResponseBytes: number;
  getFileSet: () => FileSet;
}

/** Calls plain services; a failure is returned as a result with a `code`. */
export interface ServiceClient {
  /** Tries the service's addresses in turn until one responds. */
  callIdempotent(call: ServiceCall): Promise<TicketResult>;
  /**
   * Tries further addresses only while no attempt can have reached the service,
   * so that the call is executed at most once.
   */
  callOnce(call: ServiceCall): Promise<TicketResult>;
  close(): Promise<void>;
}

const CONNECT_TIMEOUT_MS = 1000;

/** Builds the result of a failed call; `status` is 0. */
export function makeFailedResult(error: RouterError): TicketResult {
  return {
    outcome: error.outcome,
    code: error.code,
    detail: error.message,
    status: 0,
    contentType: '',
    body: new Uint8Array(),
  };
}

export function createServiceClient(
  options: ServiceClientOptions,
): ServiceClient {
  const {maximumResponseBytes, getFileSet} = options;
  // Every call opens a new connection: the service could close a reused one
  // while the request is being written.
  const agent = new Agent({
    connect: {timeout: CONNECT_TIMEOUT_MS},
    pipelining: 0,
    maxResponseSize: maximumResponseBytes,
  });
  let callCount = 0;

  /** Lists the addresses of a service, rotated by one at every call. */
  function listAddresses(serviceName: string): readonly string[] {
    const service = getFileSet().services.get(serviceName);
    if (!service || service.state === ServiceState.OUT) {
      return [];
    }
    const startIndex = callCount++ % service.addresses.length;
    return [
      ...service.addresses.slice(startIndex),
      ...service.addresses.slice(0, startIndex),
    ];
  }

  async function readResult(
    response: Dispatcher.ResponseData,
  ): Promise<TicketResult> {
    const body = new Uint8Array(await response.body.arrayBuffer());
    return {
      outcome: Outcome.COMPLETED,
      code: '',
      detail: '',
      status: response.statusCode,
      contentType: String(response.headers['content-type'] ?? ''),
      body,
    };
  }

  async function callAddress(
    address: string,
    call: ServiceCall,
  ): Promise<TicketResult> {
    const attempt = createAttemptRecord();
    const {maximumRequestMs} = getFileSet().files['service.json'];
    try {
      const response = await request(`http://${address}${call.path}`, {
        method: call.method as Dispatcher.HttpMethod,
        dispatcher: agent,
        headersTimeout: maximumRequestMs,
        bodyTimeout: maximumRequestMs,
        headers: {'content-type': call.contentType},
        ...(call.body.length > 0 ? {body: call.body} : {}),
      });
      return await readResult(response);
    } catch (error) {
      if (!isConnectFailure(error)) {
        attempt.record(AttemptEvent.WRITTEN);
      }
      return makeFailedResult(
        new RouterError('server_unreachable', (error as Error).message, {
          outcome: attempt.getOutcome(),
        }),
      );
    }
  }

  async function callAddresses(
    call: ServiceCall,
    shouldTryNext: (result: TicketResult) => boolean,
  ): Promise<TicketResult> {
    let result = makeFailedResult(
      new RouterError('unknown_service', `no service ${call.serviceName}`),
    );
    for (const address of listAddresses(call.serviceName)) {
      result = await callAddress(address, call);
      if (!shouldTryNext(result)) {
        break;
      }
    }
    return result;
  }

  return {
    callIdempotent: call => callAddresses(call, ({code}) => code !== ''),
    callOnce: call =>
      callAddresses(call, ({outcome}) => outcome === Outcome.NOT_RUN),
    close: () => agent.destroy(),
  };
}
