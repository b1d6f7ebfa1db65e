/**
 * Stand-in for the platform's store, as PROTOCOL describes it: items, pages, watches and
 * one revision counter. Each answer is made when its request arrives, or a watch has
 * something to tell, and is sent `delayMs` later.
 */
import {createServer} from 'node:http';

/** The store of a small site answers in 4 ms. */
const ANSWER_MS = 4;
const PAGE_ITEMS = 500;

function encodeValue(value) {
  return Buffer.from(JSON.stringify(value)).toString('base64');
}

export async function startStore({host, record = () => undefined}) {
  const items = new Map();
  let history = [];
  let revision = 1;
  let compactedRevision = 0;
  let delayMs = ANSWER_MS;
  const watches = new Set();
  const listeners = new Set();

  function send(response, status, body) {
    const text = JSON.stringify(body);
    setTimeout(() => {
      response.writeHead(status, {'content-type': 'application/json'});
      response.end(text);
    }, delayMs);
  }

  function listEvents({prefix, after}) {
    return history.filter(
      item => item.revision > after && item.key.startsWith(prefix),
    );
  }

  function answerWatch(watch) {
    watches.delete(watch);
    clearTimeout(watch.timer);
    send(watch.response, 200, {
      events: listEvents(watch),
      'store-revision': revision,
    });
  }

  function startWatch(query, response) {
    const after = Number(query.get('after'));
    if (after < compactedRevision || after > revision) {
      send(response, 410, {error: 'history'});
      return;
    }
    const watch = {
      prefix: query.get('path-prefix') ?? '',
      after,
      response,
      timer: setTimeout(
        () => answerWatch(watch),
        Number(query.get('wait-ms') ?? 0),
      ),
    };
    watches.add(watch);
    response.on('close', () => {
      clearTimeout(watch.timer);
      watches.delete(watch);
    });
    if (listEvents(watch).length > 0) {
      answerWatch(watch);
    }
  }

  function answerRange(query, response) {
    const prefix = query.get('path-prefix') ?? '';
    const after = query.get('after') ?? '';
    const matches = [...items.values()]
      .filter(({key}) => key.startsWith(prefix) && key > after)
      .sort((a, b) => (a.key < b.key ? -1 : 1));
    send(response, 200, {
      items: matches.slice(0, PAGE_ITEMS),
      'more-pages': matches.length > PAGE_ITEMS,
      'store-revision': revision,
    });
  }

  function write(key, value) {
    revision += 1;
    const change =
      value === undefined
        ? {key, revision, deleted: true}
        : {
            key,
            revision,
            'create-rev': items.get(key)?.['create-rev'] ?? revision,
            lease: 0,
            value: encodeValue(value),
          };
    if (value === undefined) {
      items.delete(key);
    } else {
      items.set(key, change);
    }
    history.push(change);
    record('store', value === undefined ? 'removed' : 'written', {
      key,
      revision,
    });
    for (const watch of [...watches]) {
      if (key.startsWith(watch.prefix)) {
        answerWatch(watch);
      }
    }
    return revision;
  }

  function answer(request, response) {
    request.resume();
    response.on('error', () => undefined);
    const url = new URL(request.url ?? '/', 'http://store');
    const caller = request.socket.localAddress;
    if (url.pathname === '/kv-range') {
      answerRange(url.searchParams, response);
    } else if (url.pathname === '/kv-watch') {
      startWatch(url.searchParams, response);
    } else {
      send(response, 404, {error: 'path'});
    }
    listeners.forEach(listener => listener(url, caller));
  }

  const servers = [];

  /** Serves at an address of its own, which tells the callers apart. */
  async function listen(ownHost) {
    const server = createServer(answer);
    servers.push(server);
    await new Promise(resolve => server.listen(0, ownHost, resolve));
    return `${ownHost}:${server.address().port}`;
  }

  const address = await listen(host);

  return {
    address,
    listen,
    put: (key, value) => write(key, value),
    remove: key => write(key, undefined),
    /** Makes each answer `factor` times as slow. */
    setSlowness: factor => {
      delayMs = ANSWER_MS * factor;
    },
    /** Drops the history, as a store may do sooner than after its time. */
    compact: () => {
      history = [];
      compactedRevision = revision;
    },
    /**
     * Calls `listener(url, storeHost)` after each request has arrived, and before
     * anything that is written then can be part of its answer.
     */
    onRequest: listener => {
      listeners.add(listener);
      return () => listeners.delete(listener);
    },
    close: () => {
      for (const server of servers) {
        server.closeAllConnections();
        server.close();
      }
    },
  };
}
