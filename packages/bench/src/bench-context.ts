import type { ServicePolicy } from '@daisyferry/model/policy';
import type { Deployment } from './deployment';
import type { ProcessGroup } from './process-group';
import type { Programs } from './programs';

/** What the command line gives to a scenario. */
export interface BenchContext {
  readonly deployment: Deployment;
  readonly policies: readonly ServicePolicy[];
  readonly seed: number;
  readonly outFolder: string;
  readonly disabledMechanisms: readonly string[];
  readonly withBaseline: boolean;
  readonly timelineSampleRatio: number;
  readonly programs: Programs;
  readonly group: ProcessGroup;
  report(line: string): void;
}

/** What a scenario hands back: the report as written to the file, and as printed. */
export interface BenchOutcome {
  readonly report: object;
  readonly table: string;
}
