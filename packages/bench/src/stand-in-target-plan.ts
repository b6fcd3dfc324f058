import type { MethodPlan } from './deployment';

/** Configuration of one stand-in target. */
export interface StandInTargetPlan {
  readonly name: string;
  readonly service: string;
  readonly slots: number;
  readonly connections: number;
  readonly methods: readonly MethodPlan[];
  /** Port to listen on; 0 for an ephemeral port. */
  readonly port: number;
  /** Base URL of the local listener of the daemon. */
  readonly daemonUrl: string;
}

/** Configuration of one process of stand-in targets, read from a JSON file. */
export interface TargetProcessPlan {
  readonly seed: number;
  readonly recordsFile: string;
  readonly targets: readonly StandInTargetPlan[];
}

/** First line that a process of stand-in targets prints on standard output. */
export interface TargetProcessListeningLine {
  readonly listening: {
    readonly control: number;
    readonly targets: Readonly<Record<string, number>>;
  };
}

/** Body of `POST /speed` on the control listener. */
export interface SpeedChange {
  readonly service: string;
  readonly speedFactor: number;
}
