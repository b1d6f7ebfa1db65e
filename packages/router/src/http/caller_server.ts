/** The server for callers: h3 on node:http. */
import {createServer} from 'node:http';
import type {AddressInfo} from 'node:net';
import {RouterError, computeDigest, toRouterError} from '@buckthornbeam/shared';
import type {Settings} from '@buckthornbeam/config';
import {H3} from 'h3';
import type {H3Event} from 'h3';
import {toNodeHandler} from 'h3/node';
import type {Entry} from '../tasks/entry.js';
import {parseJsonBody, readBody} from './body.js';
import {answerChat, parseChatRequest} from './chat_route.js';
import {createProblemResponse} from './problem.js';
import {answerServiceCall} from './service_route.js';

/** A listening server for callers. */
export interface CallerServer {
  readonly address: string;
  close(): Promise<void>;
}

const MAXIMUM_HEADER_BYTES = 16 * 1024;

function getCustomerId(entry: Entry, request: Request): string {
  const header = request.headers.get('authorization') ?? '';
  const apiKey = header.replace(/^Bearer /, '');
  return entry.getCustomerId(computeDigest(apiKey));
}

type Handler = (request: Request) => Promise<Response> | Response;

/** Turns every failure of a handler into a problem document. */
function createSafeHandler(handler: Handler) {
  return async (event: H3Event): Promise<Response> => {
    try {
      return await handler(event.req);
    } catch (error) {
      return createProblemResponse(toRouterError(error));
    }
  };
}

function createApp(entry: Entry, settings: Settings): H3 {
  const app = new H3({silent: true});
  const {limits} = settings;
  app.post(
    '/v1/chat/completions',
    createSafeHandler(async request => {
      const customerId = getCustomerId(entry, request);
      const body = parseJsonBody(request, await readBody(request, limits));
      const chat = parseChatRequest(request, body);
      return answerChat(entry, customerId, chat, request.signal);
    }),
  );
  app.all(
    '/v1/services/**',
    createSafeHandler(async request => {
      const customerId = getCustomerId(entry, request);
      const body = await readBody(request, limits);
      return answerServiceCall(entry, customerId, request, body);
    }),
  );
  app.get(
    '/v1/entries',
    createSafeHandler(request => {
      const query = new URL(request.url).searchParams;
      return Response.json(entry.listEntries(query.get('data_centre')));
    }),
  );
  app.get(
    '/v1/status',
    createSafeHandler(() => Response.json(entry.describeStatus())),
  );
  app.all(
    '/**',
    createSafeHandler(request => {
      const {pathname} = new URL(request.url);
      throw new RouterError('unknown_route', `${request.method} ${pathname}`);
    }),
  );
  return app;
}

/** Starts the server for callers. */
export async function startCallerServer(
  entry: Entry,
  settings: Settings,
): Promise<CallerServer> {
  const server = createServer(
    {
      maxHeaderSize: MAXIMUM_HEADER_BYTES,
      requestTimeout: settings.limits.bodyTimeoutMs * 2,
    },
    toNodeHandler(createApp(entry, settings)),
  );
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
        server.close(() => resolve());
        server.closeIdleConnections();
      }),
  };
}
