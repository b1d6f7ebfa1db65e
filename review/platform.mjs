/** Stand-in for the platform's store, as the users' pages describe it for readers. */
import {createServer} from 'node:http';

const MAXIMUM_WAIT_MS = 30_000;

function encodeValue(value) {
  return Buffer.from(JSON.stringify(value)).toString('base64');
}

/** Starts an empty store on a free loopback port; it is up at first. */
export async function startStore() {
  const items = new Map();
  const history = [];
  const watches = new Set();
  let revision = 1;
  let isSilent = false;

  function sendJson(response, status, body) {
    response.writeHead(status, {'content-type': 'application/json'});
    response.end(JSON.stringify(body));
  }

  function answerWatch(watch) {
    watches.delete(watch);
    clearTimeout(watch.timer);
    const events = history.filter(
      ({key, revision: at}) => at > watch.after && key.startsWith(watch.prefix),
    );
    sendJson(watch.response, 200, {events, 'store-revision': revision});
  }

  function startWatch(query, response) {
    const watch = {
      prefix: query.get('path-prefix') ?? '',
      after: Number(query.get('after')),
      response,
    };
    const waitMs = Math.min(MAXIMUM_WAIT_MS, Number(query.get('wait-ms') ?? 0));
    watch.timer = setTimeout(() => answerWatch(watch), waitMs);
    watches.add(watch);
    response.on('close', () => {
      clearTimeout(watch.timer);
      watches.delete(watch);
    });
    const isDue = history.some(
      ({key, revision: at}) => at > watch.after && key.startsWith(watch.prefix),
    );
    if (isDue) {
      answerWatch(watch);
    }
  }

  function answerRange(query, response) {
    const prefix = query.get('path-prefix') ?? '';
    const after = query.get('after');
    const found = [...items.values()]
      .filter(({key}) => key.startsWith(prefix) && (!after || key > after))
      .sort((a, b) => (a.key < b.key ? -1 : 1));
    sendJson(response, 200, {
      items: found,
      'more-pages': false,
      'store-revision': revision,
    });
  }

  const server = createServer((request, response) => {
    request.resume();
    response.on('error', () => undefined);
    if (isSilent) {
      return;
    }
    const url = new URL(request.url, 'http://store');
    if (url.pathname === '/kv-watch') {
      startWatch(url.searchParams, response);
    } else if (url.pathname === '/kv-range') {
      answerRange(url.searchParams, response);
    } else {
      sendJson(response, 404, {});
    }
  });
  server.on('clientError', (_, socket) => socket.destroy());
  await new Promise(resolve => server.listen(0, '127.0.0.1', resolve));

  function addChange(change) {
    history.push(change);
    for (const watch of [...watches]) {
      if (!isSilent && change.key.startsWith(watch.prefix)) {
        answerWatch(watch);
      }
    }
  }

  return {
    address: `127.0.0.1:${server.address().port}`,
    /** Writes an item; the return is the acknowledgement. */
    put: (key, value) => {
      revision += 1;
      const previous = items.get(key);
      const item = {
        key,
        value: encodeValue(value),
        revision,
        'create-rev': previous?.['create-rev'] ?? revision,
        lease: 0,
      };
      items.set(key, item);
      addChange(item);
    },
    remove: key => {
      revision += 1;
      items.delete(key);
      addChange({key, revision, deleted: true});
    },
    /**
     * While silent, the store accepts connections and answers nothing. A connection
     * on which an answer was lost returns nothing further: node:http sends answers
     * in the order of the requests, so that it also holds back the later ones.
     */
    setSilent: value => {
      isSilent = value;
      if (isSilent) {
        for (const watch of [...watches]) {
          clearTimeout(watch.timer);
          watches.delete(watch);
        }
      }
    },
    close: () => {
      server.closeAllConnections();
      server.close();
    },
  };
}
