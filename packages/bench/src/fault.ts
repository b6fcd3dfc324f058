import type { StoreMode } from './store-process';

/** One entry of a scenario's timed list of faults. Times count from the start of the load. */
export type Fault =
  | {
      readonly kind: 'slow';
      readonly atMs: number;
      readonly service: string;
      readonly speedFactor: number;
    }
  | { readonly kind: 'kill-daemon'; readonly atMs: number; readonly instance: string }
  | { readonly kind: 'start-daemon'; readonly atMs: number; readonly instance: string }
  | { readonly kind: 'kill-target'; readonly atMs: number; readonly instance: string }
  | { readonly kind: 'start-target'; readonly atMs: number; readonly instance: string }
  | { readonly kind: 'pause-daemon'; readonly atMs: number; readonly instance: string }
  | { readonly kind: 'resume-daemon'; readonly atMs: number; readonly instance: string }
  | {
      /** Drains the daemon, waits until it has left, then replaces both processes. */
      readonly kind: 'replace';
      readonly atMs: number;
      readonly instance: string;
    }
  | {
      readonly kind: 'store';
      readonly atMs: number;
      readonly mode: StoreMode;
      readonly delayMs: number;
    }
  | { readonly kind: 'policy-change'; readonly atMs: number; readonly service: string };

/** The instance that a fault stops or kills, which therefore needs a target process of its own. */
export function ownProcessInstance(fault: Fault): string | undefined {
  switch (fault.kind) {
    case 'kill-target':
    case 'start-target':
    case 'replace':
      return fault.instance;
    case 'slow':
    case 'kill-daemon':
    case 'start-daemon':
    case 'pause-daemon':
    case 'resume-daemon':
    case 'store':
    case 'policy-change':
      return undefined;
    default:
      return fault satisfies never;
  }
}
