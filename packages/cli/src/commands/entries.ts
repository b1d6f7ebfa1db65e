/** `buckthornbeam entries`: lists the instances that callers should use. */
import {ExitCode} from '../command.js';
import type {Command} from '../command.js';
import {formatTable, printJson, printLine} from '../output.js';
import {fetchJson} from '../instance_client.js';

interface EntryList {
  entries: Array<{id: string; address: string; dataCentre: string}>;
  keepMs: number;
}

function printEntries(list: EntryList): void {
  const rows = list.entries.map(entry => [
    entry.id,
    entry.address,
    entry.dataCentre,
  ]);
  printLine(formatTable([['ENTRY', 'ADDRESS', 'DATA CENTRE'], ...rows]));
  printLine(`\nvalid for ${list.keepMs} ms`);
}

export const entriesCommand: Command = {
  summary: 'Print the addresses that callers should use, best first.',
  details: ['The exit code is 1 if no instance accepts requests.'],
  options: {
    address: {
      value: 'HOST:PORT',
      description: 'caller address of any instance',
      isRequired: true,
    },
    'data-centre': {
      value: 'ID',
      description: "the caller's data centre",
    },
    json: {description: 'print JSON'},
  },
  run: async given => {
    const dataCentre = given.values.get('data-centre');
    const query = dataCentre
      ? `?data_centre=${encodeURIComponent(dataCentre)}`
      : '';
    const address = given.values.get('address')!;
    const list = (await fetchJson(address, `/v1/entries${query}`)) as EntryList;
    if (given.flags.has('json')) {
      printJson(list);
    } else {
      printEntries(list);
    }
    return list.entries.length > 0 ? ExitCode.OK : ExitCode.FAILURE;
  },
};
