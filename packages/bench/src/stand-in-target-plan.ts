import type { MethodPlan } from './deployment';

/** One stand-in target of a process. */
export interface TargetPlan {
  readonly name: string;
  readonly service: string;
  readonly slots: number;
  readonly connections: number;
  readonly methods: readonly MethodPlan[];
  /** Port to serve on; 0 for any. */
  readonly port: number;
  /** The daemon's local listener. */
  readonly daemonUrl: string;
}

/** Settings of one process of stand-in targets, read from a JSON file. */
export interface TargetProcessPlan {
  readonly seed: number;
  readonly recordsFile: string;
  readonly targets: readonly TargetPlan[];
}

/** First line on standard output of a process of stand-in targets. */
export interface TargetProcessListening {
  readonly listening: {
    readonly control: number;
    readonly targets: Readonly<Record<string, number>>;
  };
}

/** Body of `POST /speed` on the control listener. */
export interface SpeedOrder {
  readonly service: string;
  readonly speedFactor: number;
}
