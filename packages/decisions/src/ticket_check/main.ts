/**
 * `npm run check:tickets`: checks the ticket model with and without a planted
 * fault. Exits with 1 if the model violates a property or if the search does not
 * find the planted fault.
 */
import {parseArgs} from 'node:util';
import {runExploration} from './explore.js';
import {createTicketModel} from './model.js';

const DEFAULT_DEPTH_STEPS = 7;
const DEFAULT_FAULT_DEPTH_STEPS = 8;

const {values} = parseArgs({
  options: {
    json: {type: 'boolean', default: false},
    depth: {type: 'string', default: String(DEFAULT_DEPTH_STEPS)},
    'fault-depth': {type: 'string', default: String(DEFAULT_FAULT_DEPTH_STEPS)},
  },
});

const startedAt = performance.now();
const sound = runExploration(createTicketModel(), {
  depth: Number(values.depth),
});
const faulty = runExploration(
  createTicketModel({isIncarnationChecked: false, tickets: 1}),
  {depth: Number(values['fault-depth']), shouldStopAtViolation: true},
);

const report = {
  states: sound.states,
  depth: sound.depth,
  violations: sound.violations,
  firstViolation: sound.firstViolation ?? null,
  violationsWithPlantedFault: faulty.violations,
  plantedFault: faulty.firstViolation ?? null,
  seconds: Math.round((performance.now() - startedAt) / 100) / 10,
};
const lines = Object.entries(report).map(([name, value]) => `${name}=${value}`);
process.stdout.write(
  values.json ? `${JSON.stringify(report)}\n` : `${lines.join('\n')}\n`,
);
process.exitCode = sound.violations === 0 && faulty.violations > 0 ? 0 : 1;
