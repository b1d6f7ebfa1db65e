/**
 * Client of the platform: the read side of the Consul HTTP API, with blocking
 * queries as watches. It never writes.
 */
import type {ListedInstance} from '@buckthornbeam/membership';
import {RouterError} from '@buckthornbeam/shared';
import {Agent, request} from 'undici';

/** A value and the index to watch from. */
export interface PlatformReading<T> {
  value: T;
  index: string;
}

/** Options of {@link createPlatformClient}. */
export interface PlatformClientOptions {
  /** `host:port` of the configuration service. */
  address: string;
  /** Longest wait of a watch, in milliseconds. */
  watchMs: number;
  /** Longest wait of a watch on the instance list, in milliseconds. */
  listWatchMs: number;
}

/** Reads and watches the platform. */
export interface PlatformClient {
  /** Reads a key; waits for a change when `index` is given. */
  fetchValue(
    key: string,
    index?: string,
    signal?: AbortSignal,
  ): Promise<PlatformReading<string | undefined>>;
  /** Reads the instance list; waits for a change when `index` is given. */
  fetchInstances(
    service: string,
    index?: string,
    signal?: AbortSignal,
  ): Promise<PlatformReading<ListedInstance[]>>;
  close(): Promise<void>;
}

interface HealthEntry {
  Service: {
    ID: string;
    Address: string;
    Port: number;
    Meta: Record<string, string>;
  };
}

/** Time that an answer may be late beyond the wait, in milliseconds. */
const ANSWER_GRACE_MS = 3000;

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

/** Creates a client that holds a small pool of connections. */
export function createPlatformClient(
  options: PlatformClientOptions,
): PlatformClient {
  const {address, watchMs, listWatchMs} = options;
  const agent = new Agent({connections: 4});

  async function fetchJson(
    path: string,
    index: string | undefined,
    signal: AbortSignal | undefined,
    waitMs: number,
  ): Promise<{json: unknown; index: string}> {
    const query = index ? `?index=${index}&wait=${waitMs}ms` : '';
    const timeoutMs = (index ? waitMs : 0) + ANSWER_GRACE_MS;
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
        `the platform answered ${response.statusCode}`,
      );
    }
    return {json: JSON.parse(text), index: getIndex(response.headers)};
  }

  function getIndex(headers: Record<string, string | string[] | undefined>) {
    return String(headers['x-consul-index'] ?? '0');
  }

  return {
    fetchValue: async (key, index, signal) => {
      const reading = await fetchJson(`/v1/kv/${key}`, index, signal, watchMs);
      const [entry] = reading.json as Array<{Value: string}>;
      return {
        value: entry && Buffer.from(entry.Value, 'base64').toString('utf8'),
        index: reading.index,
      };
    },
    fetchInstances: async (service, index, signal) => {
      const path = `/v1/health/service/${service}`;
      const reading = await fetchJson(path, index, signal, listWatchMs);
      const entries = reading.json as HealthEntry[];
      return {value: entries.map(toListedInstance), index: reading.index};
    },
    close: () => agent.destroy(),
  };
}
