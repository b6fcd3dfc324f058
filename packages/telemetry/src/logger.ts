import type { Logger } from 'pino';
import pino from 'pino';

const STDERR = 2;

/** Creates the logger of a process: JSON lines on standard error, for state changes only. */
export function createLogger(
  level: 'debug' | 'info' | 'warn' | 'error' | 'silent',
  bindings: Readonly<Record<string, string>>,
): Logger {
  return pino({ level, base: bindings }, pino.destination({ fd: STDERR, sync: false }));
}
