/**
 * Child process of a stand-in: `main.js KIND OPTIONS`, with the options as JSON.
 * The parent calls its methods over the IPC channel.
 */
import {startEngine} from '../engine/engine.js';
import {startPlainService} from '../plain_service.js';
import {startConfigurationService} from '../configuration_service.js';
import {StandInKind} from './stand_in_process.js';
import type {Command, StandInMessage} from './stand_in_process.js';

function sendMessage(message: StandInMessage): void {
  process.send!(message);
}

const sendEvent = (event: unknown) => sendMessage({type: 'event', event});

const starters = {
  [StandInKind.ENGINE]: (options: object) =>
    startEngine({...options, onEvent: sendEvent}),
  [StandInKind.PLAIN_SERVICE]: (options: object) =>
    startPlainService({...options, onExecution: sendEvent}),
  [StandInKind.CONFIGURATION_SERVICE]: (options: object) =>
    startConfigurationService(options),
};

const [kind = '', options = '{}'] = process.argv.slice(2);
const standIn = await starters[kind as StandInKind](JSON.parse(options));
type Method = (...args: unknown[]) => unknown;
const methods = standIn as unknown as Record<string, Method>;

process.on('message', (command: Command) => {
  const value = methods[command.method]!(...command.args);
  sendMessage({type: 'result', id: command.id, value});
});
process.on('disconnect', () => process.exit(0));
sendMessage({type: 'started', address: standIn.address});
