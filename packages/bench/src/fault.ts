import type { StoreMode } from './store-process';

/** One scheduled fault of a scenario. Times count from the start of the load. */
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
      /** Drains the daemon, waits until the drain is complete, then restarts daemon and target. */
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
