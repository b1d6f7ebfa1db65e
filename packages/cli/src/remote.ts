/** Reads from running instances. */
import {RouterError} from '@buckthornbeam/shared';
import {request} from 'undici';

/** Time for an instance to answer, in milliseconds. */
const ANSWER_TIMEOUT_MS = 5000;

async function readAnswer(address: string, path: string): Promise<unknown> {
  try {
    const response = await request(`http://${address}${path}`, {
      headersTimeout: ANSWER_TIMEOUT_MS,
      bodyTimeout: ANSWER_TIMEOUT_MS,
    });
    const value = await response.body.json();
    return response.statusCode === 200 ? value : undefined;
  } catch (error) {
    throw new RouterError(
      'instance_unreachable',
      `${address}: ${(error as Error).message}`,
    );
  }
}

/** Fetches a JSON value; throws `instance_unreachable`. */
export async function fetchJson(
  address: string,
  path: string,
): Promise<unknown> {
  const value = await readAnswer(address, path);
  if (value === undefined) {
    throw new RouterError('instance_unreachable', `${address} refused ${path}`);
  }
  return value;
}
