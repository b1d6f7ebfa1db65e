/** Reads the body of an HTTP answer. */
import type {Readable} from 'node:stream';
import {createByteBuffer} from './byte_buffer.js';
import {RouterError} from './errors.js';

/**
 * Reads a body as UTF-8, up to a size: a sender in trouble may send without end.
 * A larger body is given up and its connection closed.
 * @throws RouterError `answer_garbled` if the body is too large; Error of the
 *   connection if it breaks off
 */
export function readText(
  body: Readable,
  maximumBytes: number,
): Promise<string> {
  return new Promise((resolve, reject) => {
    const received = createByteBuffer({maximumBytes});
    body.on('data', (chunk: Buffer) => {
      if (!received.append(chunk)) {
        body.destroy(
          new RouterError(
            'answer_garbled',
            `the body has more than ${maximumBytes} bytes`,
          ),
        );
      }
    });
    body.on('error', reject);
    body.on('end', () => resolve(received.getBytes().toString('utf8')));
  });
}
