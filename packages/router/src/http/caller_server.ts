/** HTTP server for callers: h3 on top of node:http. */
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
import {answerClientErrors} from './client_errors.js';
import {checkHeaders, getApiKey} from './headers.js';
import {createJsonResponse} from './json_response.js';
import {createProblemResponse} from './problem.js';
import {createRequestLimiter} from './request_limiter.js';
import type {RequestLimiter} from './request_limiter.js';
import {answerServiceCall} from './service_route.js';

export interface CallerServer {
  /** `host:port`. */
  readonly address: string;
  /** Stops listening; resolves when all connections have ended. */
  close(): Promise<void>;
}

/** Longest interval at which node:http checks for request timeouts. */
const MAXIMUM_TIMEOUT_CHECK_MS = 1000;

function getCustomerId(entry: Entry, request: IncomingMessage): string {
  return entry.getCustomerId(computeDigest(getApiKey(request)));
}

interface HandlerContext {
  request: Request;
  /** The same request as received by node:http. */
  incoming: IncomingMessage;
}

type Handler = (context: HandlerContext) => Promise<Response> | Response;

/** Wraps a handler: checks headers and answers errors as problem documents. */
function createRouteHandler(handler: Handler) {
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

function createApp(
  entry: Entry,
  settings: Settings,
  limiter: RequestLimiter,
): H3 {
  const app = new H3({silent: true});
  const readRequestBody = (incoming: IncomingMessage) =>
    readBody(incoming, settings.limits, limiter.getPermit(incoming));
  app.post(
    '/v1/chat/completions',
    createRouteHandler(async ({request, incoming}) => {
      const customerId = getCustomerId(entry, incoming);
      const contentType = incoming.headers['content-type'] ?? '';
      const body = parseJsonBody(contentType, await readRequestBody(incoming));
      const chat = parseChatRequest(request, body);
      return answerChat(entry, customerId, chat, request.signal);
    }),
  );
  app.all(
    '/v1/services/**',
    createRouteHandler(async ({request, incoming}) => {
      const customerId = getCustomerId(entry, incoming);
      const body = await readRequestBody(incoming);
      return answerServiceCall(entry, customerId, request, body);
    }),
  );
  app.get(
    '/v1/entries',
    createRouteHandler(({request}) => {
      const query = new URL(request.url).searchParams;
      return createJsonResponse(entry.listEntries(query.get('data_centre')));
    }),
  );
  app.get(
    '/v1/status',
    createRouteHandler(() => createJsonResponse(entry.describeStatus())),
  );
  app.all(
    '/**',
    createRouteHandler(({request}) => {
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

/** Wraps a handler: answers requests that the limiter rejects. */
function createLimitedHandler(
  limiter: RequestLimiter,
  handle: NodeHandler,
): NodeHandler {
  return (request, response) => {
    try {
      if (!URL.canParse(request.url ?? '', 'http://localhost')) {
        throw new RouterError('malformed_http', 'the path is not valid');
      }
      limiter.open(request, response);
    } catch (error) {
      request.resume();
      void sendResponse(response, createProblemResponse(toRouterError(error)));
      return;
    }
    handle(request, response);
  };
}

/** Starts listening for callers. */
export async function startCallerServer(
  entry: Entry,
  settings: Settings,
): Promise<CallerServer> {
  const {limits} = settings;
  const limiter = createRequestLimiter(limits);
  const handle = createLimitedHandler(
    limiter,
    toNodeHandler(createApp(entry, settings, limiter)) as NodeHandler,
  );
  const server = createServer(
    {
      maxHeaderSize: limits.maximumHeaderBytes,
      headersTimeout: limits.headerTimeoutMs,
      // `readBody` has its own timeout; this one ends requests whose body still
      // arrives after that.
      requestTimeout: limits.headerTimeoutMs + limits.bodyTimeoutMs * 2,
      keepAliveTimeout: limits.idleConnectionMs,
      connectionsCheckingInterval: Math.min(
        MAXIMUM_TIMEOUT_CHECK_MS,
        limits.headerTimeoutMs,
      ),
      // `checkHeaders` checks it, so that the answer is a problem document.
      requireHostHeader: false,
    },
    handle,
  );
  server.maxConnections = limits.maximumConnections;
  server.on('checkExpectation', handle);
  answerClientErrors(server);
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
        limiter.close();
        server.close(() => resolve());
        server.closeIdleConnections();
      }),
  };
}
