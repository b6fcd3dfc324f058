import { readFileSync } from 'node:fs';

/** Clock ticks a second in which the kernel counts processor time. */
const TICKS_PER_SECOND = 100;
const KIBIBYTE = 1_024;
/** Positions in `/proc/PID/stat`, counted after the name in parentheses. */
const USER_TICKS_FIELD = 11;
const SYSTEM_TICKS_FIELD = 12;

/** What a process has used so far. */
export interface ProcessUsage {
  readonly cpuMs: number;
  readonly residentBytes: number;
}

/** Reads the processor time and resident memory of a process; undefined once it has ended. */
export function processUsage(pid: number): ProcessUsage | undefined {
  try {
    const stat = readFileSync(`/proc/${pid}/stat`, 'utf8');
    const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ');
    const ticks = Number(fields[USER_TICKS_FIELD]) + Number(fields[SYSTEM_TICKS_FIELD]);
    const status = readFileSync(`/proc/${pid}/status`, 'utf8');
    const resident = /^VmRSS:\s+(\d+) kB$/m.exec(status);
    return {
      cpuMs: (ticks * 1_000) / TICKS_PER_SECOND,
      residentBytes: Number(resident?.[1] ?? 0) * KIBIBYTE,
    };
  } catch {
    return undefined;
  }
}
