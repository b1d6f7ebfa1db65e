/** Stand-in for a client: sends one request, and waits until its deadline. */
import {request as startRequest} from 'node:http';

/** Resolves with the answer, or with status 0 and the error. */
export function sendRequest({
  port,
  method = 'GET',
  path,
  id,
  key,
  deadlineMs = 1000,
  body,
  agent,
}) {
  return new Promise(resolve => {
    const sentAt = Date.now();
    const timer = setTimeout(() => {
      finish({status: 0, error: 'deadline'});
      request.destroy();
    }, deadlineMs);
    const finish = result => {
      clearTimeout(timer);
      resolve({id, method, path, sentAt, endedAt: Date.now(), ...result});
    };
    const request = startRequest({
      host: '127.0.0.1',
      port,
      method,
      path,
      agent,
      headers: {
        host: 'registre.example',
        'x-request-id': id,
        'x-deadline-ms': String(deadlineMs),
        ...(key ? {authorization: `Bearer ${key}`} : {}),
        ...(body === undefined
          ? {}
          : {'content-length': String(Buffer.byteLength(body))}),
      },
    });
    request.on('response', response => {
      const chunks = [];
      response.on('data', chunk => chunks.push(chunk));
      response.on('error', error =>
        finish({status: 0, error: error.code ?? error.message}),
      );
      response.on('end', () =>
        finish({
          status: response.statusCode,
          body: Buffer.concat(chunks).toString('latin1'),
        }),
      );
    });
    request.on('error', error =>
      finish({status: 0, error: error.code ?? error.message}),
    );
    request.end(body);
  });
}
