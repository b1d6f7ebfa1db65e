/** Client of the plain services. */
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

/** A call of a plain service. */
export interface ServiceCall {
  serviceName: string;
  method: string;
  path: string;
  contentType: string;
  body: Uint8Array;
}

/** Options of {@link createServiceClient}. */
export interface ServiceClientOptions {
  /** Longest body of an answer, in bytes. */
  maximumBytes: number;
  getFileSet: () => FileSet;
}

/** Calls plain services; failures are results too. */
export interface ServiceClient {
  /** Tries the addresses in turn until one answers. */
  callIdempotent(call: ServiceCall): Promise<TicketResult>;
  /** Makes at most one attempt that can have written a byte. */
  callOnce(call: ServiceCall): Promise<TicketResult>;
  close(): Promise<void>;
}

const CONNECT_TIMEOUT_MS = 1000;

/** Builds the result of a call that failed. */
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

/** Creates a client without connections. */
export function createServiceClient(
  options: ServiceClientOptions,
): ServiceClient {
  const {maximumBytes, getFileSet} = options;
  // Each call has a connection of its own: a kept one can be closed by the
  // service just as the request is written.
  const agent = new Agent({
    connect: {timeout: CONNECT_TIMEOUT_MS},
    pipelining: 0,
    maxResponseSize: maximumBytes,
  });
  let calls = 0;

  /** Addresses of the service, another one first at every call. */
  function listAddresses(serviceName: string): readonly string[] {
    const service = getFileSet().services.get(serviceName);
    if (!service || service.state === ServiceState.OUT) {
      return [];
    }
    const first = calls++ % service.addresses.length;
    return [
      ...service.addresses.slice(first),
      ...service.addresses.slice(0, first),
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

  async function callInTurn(
    call: ServiceCall,
    shouldGoOn: (result: TicketResult) => boolean,
  ): Promise<TicketResult> {
    let result = makeFailedResult(
      new RouterError('unknown_service', `no service ${call.serviceName}`),
    );
    for (const address of listAddresses(call.serviceName)) {
      result = await callAddress(address, call);
      if (!shouldGoOn(result)) {
        break;
      }
    }
    return result;
  }

  return {
    callIdempotent: call => callInTurn(call, ({code}) => code !== ''),
    callOnce: call =>
      callInTurn(call, ({outcome}) => outcome === Outcome.NOT_RUN),
    close: () => agent.destroy(),
  };
}
