/** Reads JSON from the caller interface of running instances. */
import {RouterError} from '@buckthornbeam/shared';
import {request} from 'undici';

const RESPONSE_TIMEOUT_MS = 5000;

async function readJson(address: string, path: string): Promise<unknown> {
  try {
    const response = await request(`http://${address}${path}`, {
      headersTimeout: RESPONSE_TIMEOUT_MS,
      bodyTimeout: RESPONSE_TIMEOUT_MS,
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

/**
 * Fetches a JSON value.
 *
 * @throws RouterError `instance_unreachable`, also for a status other than 200
 */
export async function fetchJson(
  address: string,
  path: string,
): Promise<unknown> {
  const value = await readJson(address, path);
  if (value === undefined) {
    throw new RouterError(
      'instance_unreachable',
      `${address} answered ${path} with an error status`,
    );
  }
  return value;
}
