/** The server for callers: h3 on node:http. */
import {createServer} from 'node:http';
import type {IncomingMessage, ServerResponse} from 'node:http';
import type {AddressInfo} from 'node:net';
import {RouterError, computeDigest, toRouterError} from '@buckthornbeam/shared';
import type {Settings} from '@buckthornbeam/config';
import {H3} from 'h3';
import type {H3Event} from 'h3';
import {toNodeHandler} from 'h3/node';
import type {Entry} from '../tasks/entry.js';
import {parseJsonBody, readBody} from './body.js';
import {answerChat, parseChatRequest} from './chat_route.js';
import {useProblemsForClientErrors} from './client_errors.js';
import {checkHeaders, getApiKey} from './headers.js';
import {createJsonResponse} from './json_response.js';
import {createProblemResponse} from './problem.js';
import {createRequestGate} from './request_gate.js';
import type {RequestGate} from './request_gate.js';
import {answerServiceCall} from './service_route.js';

/** A listening server for callers. */
export interface CallerServer {
  readonly address: string;
  close(): Promise<void>;
}

/** Period at which node:http looks for requests that are late, in milliseconds. */
const MAXIMUM_CHECK_PERIOD_MS = 1000;

function getCustomerId(entry: Entry, request: IncomingMessage): string {
  return entry.getCustomerId(computeDigest(getApiKey(request)));
}

/** A call as its handler sees it. */
interface CallerCall {
  request: Request;
  /** The request as node:http gave it. */
  incoming: IncomingMessage;
}

type Handler = (call: CallerCall) => Promise<Response> | Response;

/** Turns every failure of a handler into a problem document. */
function createSafeHandler(handler: Handler) {
  return async (event: H3Event): Promise<Response> => {
    const incoming = event.runtime!.node!.req as IncomingMessage;
    try {
      checkHeaders(incoming);
      return await handler({request: event.req, incoming});
    } catch (error) {
      return createProblemResponse(toRouterError(error));
    }
  };
}

function createApp(entry: Entry, settings: Settings, gate: RequestGate): H3 {
  const app = new H3({silent: true});
  const readWhole = (incoming: IncomingMessage) =>
    readBody(incoming, settings.limits, gate.getPermit(incoming));
  app.post(
    '/v1/chat/completions',
    createSafeHandler(async ({request, incoming}) => {
      const customerId = getCustomerId(entry, incoming);
      const contentType = incoming.headers['content-type'] ?? '';
      const body = parseJsonBody(contentType, await readWhole(incoming));
      const chat = parseChatRequest(request, body);
      return answerChat(entry, customerId, chat, request.signal);
    }),
  );
  app.all(
    '/v1/services/**',
    createSafeHandler(async ({request, incoming}) => {
      const customerId = getCustomerId(entry, incoming);
      const body = await readWhole(incoming);
      return answerServiceCall(entry, customerId, request, body);
    }),
  );
  app.get(
    '/v1/entries',
    createSafeHandler(({request}) => {
      const query = new URL(request.url).searchParams;
      return createJsonResponse(entry.listEntries(query.get('data_centre')));
    }),
  );
  app.get(
    '/v1/status',
    createSafeHandler(() => createJsonResponse(entry.describeStatus())),
  );
  app.all(
    '/**',
    createSafeHandler(({request}) => {
      const {pathname} = new URL(request.url);
      throw new RouterError('unknown_route', `${request.method} ${pathname}`);
    }),
  );
  return app;
}

type NodeHandler = (
  request: IncomingMessage,
  response: ServerResponse,
) => unknown;

async function sendResponse(
  response: ServerResponse,
  answer: Response,
): Promise<void> {
  response.writeHead(answer.status, Object.fromEntries(answer.headers));
  response.end(Buffer.from(await answer.arrayBuffer()));
}

/** Lets a request in through the gate, or answers why not. */
function createGatedHandler(
  gate: RequestGate,
  handle: NodeHandler,
): NodeHandler {
  return (request, response) => {
    try {
      if (!URL.canParse(request.url ?? '', 'http://localhost')) {
        throw new RouterError('malformed_http', 'the path is not valid');
      }
      gate.open(request, response);
    } catch (error) {
      request.resume();
      void sendResponse(response, createProblemResponse(toRouterError(error)));
      return;
    }
    handle(request, response);
  };
}

/** Starts the server for callers. */
export async function startCallerServer(
  entry: Entry,
  settings: Settings,
): Promise<CallerServer> {
  const {limits} = settings;
  const gate = createRequestGate(limits);
  const handle = createGatedHandler(
    gate,
    toNodeHandler(createApp(entry, settings, gate)) as NodeHandler,
  );
  const server = createServer(
    {
      maxHeaderSize: limits.maximumHeaderBytes,
      headersTimeout: limits.headerTimeoutMs,
      // The body has a limit of its own; this one ends what comes after it.
      requestTimeout: limits.headerTimeoutMs + limits.bodyTimeoutMs * 2,
      keepAliveTimeout: limits.idleConnectionMs,
      connectionsCheckingInterval: Math.min(
        MAXIMUM_CHECK_PERIOD_MS,
        limits.headerTimeoutMs,
      ),
      // Checked by `checkHeaders`, which answers with a problem document.
      requireHostHeader: false,
    },
    handle,
  );
  server.maxConnections = limits.maximumConnections;
  server.on('checkExpectation', handle);
  useProblemsForClientErrors(server);
  const {host, port} = settings.callers;
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, host, resolve);
  });
  const bound = server.address() as AddressInfo;
  return {
    address: `${bound.address}:${bound.port}`,
    close: () =>
      new Promise(resolve => {
        gate.close();
        server.close(() => resolve());
        server.closeIdleConnections();
      }),
  };
}
