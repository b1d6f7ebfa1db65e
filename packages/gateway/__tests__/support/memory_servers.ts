/** Scripted servers on connections in memory, without a network. */
import {Agent} from 'node:http';
import type {ClientRequestArgs} from 'node:http';
import {Duplex} from 'node:stream';

/** Answers a request, of which it gets the head. */
export type MemoryServer = (head: string, connection: Duplex) => void;

const HEAD_END = '\r\n\r\n';

/** Creates two ends of a connection; what one writes, the other reads. */
function createPair(): [Duplex, Duplex] {
  const ends: Duplex[] = [0, 1].map(
    index =>
      new Duplex({
        read: () => undefined,
        write: (chunk, _, callback) => {
          ends[1 - index]!.push(chunk);
          callback();
        },
        destroy: (error, callback) => {
          ends[1 - index]!.push(null);
          callback(error);
        },
      }),
  );
  return ends as [Duplex, Duplex];
}

/** Creates an agent that opens a connection in memory for each request. */
export function createMemoryAgent(
  servers: Readonly<Record<string, MemoryServer>>,
): Agent {
  const agent = new Agent();
  const openConnection = ({host}: ClientRequestArgs): Duplex => {
    const [client, server] = createPair();
    server.on('error', () => undefined);
    server.on('data', (bytes: Buffer) => {
      const text = bytes.toString();
      if (text.includes(HEAD_END)) {
        servers[host!]!(text, server);
      }
    });
    return client;
  };
  return Object.assign(agent, {createConnection: openConnection});
}
