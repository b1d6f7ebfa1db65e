/** Processor time and memory of a process, from the kernel's accounts. */
import {readFileSync} from 'node:fs';

/** Usage of one process since its start. */
export interface ProcessUsage {
  /** User and system time, in milliseconds. */
  cpuMs: number;
  /** Resident memory, in bytes. */
  residentBytes: number;
}

/** Milliseconds in one tick of the kernel's accounts. */
const TICK_MS = 10;
/** Position of the user time behind the command's closing bracket. */
const USER_TIME_FIELD = 11;
const KIBIBYTE = 1024;

/** Reads the usage of a running process. */
export function readProcessUsage(pid: number): ProcessUsage {
  const stat = readFileSync(`/proc/${pid}/stat`, 'utf8');
  const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ');
  const ticks =
    Number(fields[USER_TIME_FIELD]) + Number(fields[USER_TIME_FIELD + 1]);
  const status = readFileSync(`/proc/${pid}/status`, 'utf8');
  const kibibytes = Number(/^VmRSS:\s+(\d+)/m.exec(status)?.[1] ?? 0);
  return {cpuMs: ticks * TICK_MS, residentBytes: kibibytes * KIBIBYTE};
}
