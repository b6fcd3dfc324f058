import { readFileSync } from 'node:fs';

/** Clock ticks per second in which the kernel counts CPU time. */
const TICKS_PER_SECOND = 100;
const BYTES_PER_KIBIBYTE = 1_024;
/** Indexes of fields in `/proc/PID/stat`, counted after the name in parentheses. */
const USER_TICKS_INDEX = 11;
const SYSTEM_TICKS_INDEX = 12;

/** Cumulative CPU time and current resident memory of a process. */
export interface ProcessUsage {
  readonly cpuMs: number;
  readonly residentBytes: number;
}

/** Reads the CPU time and resident memory of a process; undefined if it has exited. */
export function processUsage(pid: number): ProcessUsage | undefined {
  try {
    const stat = readFileSync(`/proc/${pid}/stat`, 'utf8');
    const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ');
    const ticks = Number(fields[USER_TICKS_INDEX]) + Number(fields[SYSTEM_TICKS_INDEX]);
    const status = readFileSync(`/proc/${pid}/status`, 'utf8');
    const residentMatch = /^VmRSS:\s+(\d+) kB$/m.exec(status);
    return {
      cpuMs: (ticks * 1_000) / TICKS_PER_SECOND,
      residentBytes: Number(residentMatch?.[1] ?? 0) * BYTES_PER_KIBIBYTE,
    };
  } catch {
    return undefined;
  }
}
