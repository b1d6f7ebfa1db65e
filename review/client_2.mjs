/** Stand-in for a client: sends one request and tells how its connection ended. */
import {Agent, request as startRequest} from 'node:http';
import {splitAddress} from './addresses_2.mjs';

export {Agent};

export function sendRequest({
  address,
  host,
  path,
  id,
  method = 'POST',
  key,
  deadlineMs,
  headers = {},
  body = '',
  agent = false,
  record = () => undefined,
}) {
  const result = {
    id,
    path,
    address,
    sentAt: performance.now(),
    headAt: undefined,
    endedAt: undefined,
    status: 0,
    bytes: 0,
    isComplete: false,
    error: undefined,
  };
  record('client', 'sends', {request: id, to: address, path});
  const outgoing = startRequest({
    ...splitAddress(address),
    agent,
    method,
    path,
    headers: {
      Host: host,
      'X-Request-Id': id,
      'X-Deadline-Ms': String(deadlineMs),
      ...(key === undefined ? {} : {Authorization: `Bearer ${key}`}),
      'Content-Length': Buffer.byteLength(body),
      ...headers,
    },
  });
  const began = new Promise(resolve => {
    outgoing.on('response', resolve);
    outgoing.on('close', resolve);
  });
  const done = new Promise(resolve => {
    let isDone = false;
    function finish(error) {
      if (isDone) {
        return;
      }
      isDone = true;
      result.endedAt = performance.now();
      result.error = error;
      record('client', result.isComplete ? 'has the answer' : 'is cut off', {
        request: id,
        status: result.status,
        bytes: result.bytes,
        error,
      });
      resolve(result);
    }
    outgoing.on('error', error => finish(error.code ?? error.message));
    outgoing.on('response', incoming => {
      result.headAt = performance.now();
      result.status = incoming.statusCode;
      result.seal = incoming.headers['x-server-seal'];
      incoming.on('data', piece => {
        result.bytes += piece.length;
        result.text = (result.text ?? '') + piece;
      });
      incoming.on('error', error => finish(error.code ?? error.message));
      incoming.on('end', () => {
        result.isComplete = incoming.complete;
        finish(incoming.complete ? undefined : 'incomplete');
      });
    });
    outgoing.on('close', () => setTimeout(() => finish('closed'), 20));
  });
  outgoing.end(body);
  return {result, began, done};
}
