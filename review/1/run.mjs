/**
 * Requests with a body whose method is GET or DELETE. Servers must run what the
 * clients sent: each request once, with its body, and nothing else.
 */
import {Agent} from 'node:http';
import {sendRequest} from '../caller.mjs';
import {HOST, startDeployment} from '../deployment.mjs';
import {HAS_TROUBLE, runCase, waitFor} from '../run_case.mjs';

const KEY = 'key-of-hule930';
const REQUESTS = 10;

function buildInnerRequest(id) {
  return [
    'POST /certs/issue HTTP/1.1',
    `Host: ${HOST}`,
    `X-Request-Id: ${id}`,
    'X-Tenant: yevo400',
    'Content-Length: 0',
    '',
    '',
  ].join('\r\n');
}

/** Bodies by kind of request; without trouble, the requests have none. */
const CASES = [
  {method: 'GET', path: '/logs/search', buildBody: () => '{"drill":17}'},
  {method: 'DELETE', path: '/certs/17', buildBody: () => '{"reason":"void"}'},
  {
    method: 'GET',
    path: '/logs/search',
    buildBody: index => buildInnerRequest(`inner-${index}`),
  },
  // A method whose body is framed, with the same body, for comparison.
  {
    method: 'POST',
    path: '/certs/issue',
    buildBody: index => buildInnerRequest(`framed-${index}`),
  },
];

await runCase(async ({folder, started, write}) => {
  const {runs, gateways} = await startDeployment({
    folder,
    started,
    write,
    gatewayNames: ['front-a-1'],
    serverIds: ['i-1', 'i-2'],
    tenants: [
      {name: 'hule930', 'api-keys': [KEY]},
      {name: 'yevo400', 'api-keys': ['key-of-yevo400']},
    ],
  });
  const agent = new Agent({keepAlive: true});
  const sent = new Map();
  for (let index = 0; index < REQUESTS; index += 1) {
    for (const [place, {method, path, buildBody}] of CASES.entries()) {
      const id = `r${index}-${place}`;
      const body =
        HAS_TROUBLE || method === 'POST' ? buildBody(index) : undefined;
      sent.set(id, {method, path, body: body ?? ''});
      write('sent', {id, method, path, tenant: 'hule930', body});
      const answer = await sendRequest({
        port: gateways[0].front,
        method,
        path,
        id,
        key: KEY,
        body,
        agent,
      });
      write('answered', answer);
    }
  }
  await waitFor(500);
  agent.destroy();
  return runs.flatMap(run => {
    const request = sent.get(run.id);
    if (!request) {
      return [{what: 'a server ran a request that no client sent', run}];
    }
    const isChanged =
      request.method !== run.method ||
      request.path !== run.url ||
      request.body !== run.body;
    const isForeign = run.tenant !== 'hule930';
    return isChanged || isForeign
      ? [{what: 'a server ran a changed request', run, request}]
      : [];
  });
});
