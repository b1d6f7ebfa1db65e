/** CPU time and memory of a process, read from `/proc`. */
import {readFileSync} from 'node:fs';

export interface ProcessUsage {
  /** User and system time since the start of the process. */
  cpuMs: number;
  residentBytes: number;
}

/** Length of a clock tick in `/proc/PID/stat`. */
const CLOCK_TICK_MS = 10;
/** Index of `utime` among the fields after the command name; `stime` is next. */
const USER_TIME_INDEX = 11;
const KIBIBYTE_BYTES = 1024;

/** Reads the usage of a running process; throws when it has exited. */
export function readProcessUsage(pid: number): ProcessUsage {
  const stat = readFileSync(`/proc/${pid}/stat`, 'utf8');
  const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ');
  const ticks =
    Number(fields[USER_TIME_INDEX]) + Number(fields[USER_TIME_INDEX + 1]);
  const status = readFileSync(`/proc/${pid}/status`, 'utf8');
  const kibibytes = Number(/^VmRSS:\s+(\d+)/m.exec(status)?.[1] ?? 0);
  return {
    cpuMs: ticks * CLOCK_TICK_MS,
    residentBytes: kibibytes * KIBIBYTE_BYTES,
  };
}
