/** Reads the body of an HTTP answer. */
import {createByteBuffer} from './byte_buffer.js';
import {RouterError} from './errors.js';
import {createReadPacer} from './read_pacer.js';
import type {PacedBody} from './read_pacer.js';

/**
 * Reads a body as UTF-8, up to a size: a sender in trouble may send without end.
 * A larger body is given up and its connection closed.
 * @throws RouterError `answer_garbled` if the body is too large; Error of the
 *   connection if it breaks off
 */
export function readText(
  body: PacedBody,
  maximumBytes: number,
): Promise<string> {
  return new Promise((resolve, reject) => {
    const received = createByteBuffer({maximumBytes});
    const pacer = createReadPacer(body);
    body.on('data', (chunk: Buffer) => {
      pacer.countPieces(1);
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
