/**
 * Measures the time of one decision in microseconds: choosing a server for a
 * request (placement), and queueing, dispatching and finishing a request at one
 * server (dispatch).
 */
import {createServerQueue, placeRequest} from '@buckthornbeam/decisions';
import {createRandom} from '@buckthornbeam/shared';

const SERVER_COUNTS = [13, 51, 2000];
const QUEUE_LENGTHS = [0, 16, 256];
const WARM_UP_RUNS = 200;
const MINIMUM_RUN_MS = 500;
const SEED = 1;

const random = createRandom(SEED);

/** Returns the median of five timed runs, in microseconds per call. */
function measureCall(call) {
  for (let run = 0; run < WARM_UP_RUNS; run++) {
    call();
  }
  const results = [];
  for (let run = 0; run < 5; run++) {
    const startedAt = performance.now();
    let calls = 0;
    while (performance.now() - startedAt < MINIMUM_RUN_MS / 5) {
      call();
      calls += 1;
    }
    results.push(((performance.now() - startedAt) * 1000) / calls);
  }
  return results.sort((a, b) => a - b)[2];
}

function buildCandidate(index) {
  return {
    serverId: `server-${index}`,
    limit: 16,
    inFlight: random.nextInt(17),
    queued: random.nextInt(4),
    sentSince: 0,
    expectedWaitMs: random.nextInt(500),
    msPerToken: 20,
    isSlowServer: false,
    lowestTier: random.nextInt(5),
    ageMs: 100,
  };
}

/** Measures one placement; each call gets new candidate objects, as in the placer. */
function measurePlacement(servers) {
  const templates = Array.from({length: servers}, (_, i) => buildCandidate(i));
  const request = {tier: 1, betweenTokensMs: 35};
  return measureCall(() => {
    const candidates = templates.map(item => ({...item}));
    placeRequest(candidates, request, random);
  });
}

function buildRequest(id) {
  return {
    attemptId: `attempt-${id}`,
    className: `class-${id % 4}`,
    customerId: `customer-${id % 10}`,
    tier: 1 + (id % 4),
    deadline: 1e12,
    estimatedTokens: 100,
  };
}

/** Measures one arrival and one completion while `queued` requests wait. */
function measureDispatch(queued) {
  const queue = createServerQueue({
    limit: 16,
    maximumQueued: 1000,
    getMinimumShare: () => 0.1,
  });
  let id = 0;
  const runningIds = [];
  const recordDispatched = actions => {
    for (const {type, request} of actions) {
      if (type === 'dispatch') {
        runningIds.push(request.attemptId);
      }
    }
  };
  const enqueue = () => {
    id += 1;
    recordDispatched(
      queue.step({type: 'enqueue', request: buildRequest(id)}, 0),
    );
  };
  for (let count = 0; count < 15 + queued; count++) {
    enqueue();
  }
  return measureCall(() => {
    enqueue();
    const attemptId = runningIds.shift();
    recordDispatched(queue.step({type: 'finish', attemptId, tokens: 90}, 0));
  });
}

for (const servers of SERVER_COUNTS) {
  const cost = measurePlacement(servers).toFixed(1);
  console.log(`placement servers=${servers} us=${cost}`);
}
for (const queued of QUEUE_LENGTHS) {
  const cost = measureDispatch(queued).toFixed(1);
  console.log(`dispatch queued=${queued} us=${cost}`);
}
