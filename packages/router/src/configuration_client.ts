/**
 * Read-only client for the configuration service. It uses the Consul HTTP API
 * and watches keys and services with blocking queries.
 */
import type {ListedInstance} from '@buckthornbeam/membership';
import {RouterError} from '@buckthornbeam/shared';
import {Agent, request} from 'undici';

/** A value with the Consul index at which it was read. */
export interface IndexedValue<T> {
  value: T;
  index: string;
}

/** Options of {@link createConfigurationClient}. */
export interface ConfigurationClientOptions {
  /** `host:port` of the configuration service. */
  address: string;
  /** Longest blocking query on a key, in milliseconds. */
  watchMs: number;
  /** Longest blocking query on the instance list, in milliseconds. */
  listWatchMs: number;
}

export interface ConfigurationClient {
  /**
   * Reads a key; `undefined` if it does not exist. With `index`, waits until
   * the key changes after that index or `watchMs` have passed.
   *
   * @throws RouterError `platform_unavailable` on an unexpected status
   */
  fetchValue(
    key: string,
    index?: string,
    signal?: AbortSignal,
  ): Promise<IndexedValue<string | undefined>>;
  /**
   * Reads the instances of a service. With `index`, waits until the list
   * changes after that index or `listWatchMs` have passed.
   *
   * @throws RouterError `platform_unavailable` on an unexpected status
   */
  fetchInstances(
    service: string,
    index?: string,
    signal?: AbortSignal,
  ): Promise<IndexedValue<ListedInstance[]>>;
  close(): Promise<void>;
}

/** Item of the answer to `GET /v1/health/service/NAME`. */
interface HealthEntry {
  Service: {
    ID: string;
    Address: string;
    Port: number;
    Meta: Record<string, string>;
  };
}

/** Time allowed for a response beyond the wait of a blocking query. */
const RESPONSE_GRACE_MS = 3000;

function toListedInstance(entry: HealthEntry): ListedInstance {
  const {ID, Address, Port, Meta} = entry.Service;
  return {
    id: ID,
    dataCentre: Meta['dataCentre'] ?? '',
    callerAddress: `${Address}:${Port}`,
    peerAddress: Meta['peerAddress'] ?? '',
    leaving: Meta['state'] === 'leaving',
  };
}

/** Creates a client with a small connection pool. */
export function createConfigurationClient(
  options: ConfigurationClientOptions,
): ConfigurationClient {
  const {address, watchMs, listWatchMs} = options;
  const agent = new Agent({connections: 4});

  async function fetchJson(
    path: string,
    index: string | undefined,
    signal: AbortSignal | undefined,
    waitMs: number,
  ): Promise<{json: unknown; index: string}> {
    const query = index ? `?index=${index}&wait=${waitMs}ms` : '';
    const timeoutMs = (index ? waitMs : 0) + RESPONSE_GRACE_MS;
    const response = await request(`http://${address}${path}${query}`, {
      dispatcher: agent,
      headersTimeout: timeoutMs,
      bodyTimeout: timeoutMs,
      ...(signal ? {signal} : {}),
    });
    const text = await response.body.text();
    if (response.statusCode === 404) {
      return {json: [], index: getIndex(response.headers)};
    }
    if (response.statusCode !== 200) {
      throw new RouterError(
        'platform_unavailable',
        `the configuration service answered with status ${response.statusCode}`,
      );
    }
    return {json: JSON.parse(text), index: getIndex(response.headers)};
  }

  function getIndex(headers: Record<string, string | string[] | undefined>) {
    return String(headers['x-consul-index'] ?? '0');
  }

  return {
    fetchValue: async (key, index, signal) => {
      const response = await fetchJson(`/v1/kv/${key}`, index, signal, watchMs);
      const [entry] = response.json as Array<{Value: string}>;
      return {
        value: entry && Buffer.from(entry.Value, 'base64').toString('utf8'),
        index: response.index,
      };
    },
    fetchInstances: async (service, index, signal) => {
      const path = `/v1/health/service/${service}`;
      const response = await fetchJson(path, index, signal, listWatchMs);
      const entries = response.json as HealthEntry[];
      return {value: entries.map(toListedInstance), index: response.index};
    },
    close: () => agent.destroy(),
  };
}
