import type { ServicePolicy } from '@daisyferry/model/policy';
import type { Deployment } from './deployment';
import type { ProcessGroup } from './process-group';
import type { Programs } from './programs';

/** Options and tools that a scenario runs with. */
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
  printProgress(line: string): void;
}

/** Result of a scenario: the report written to the file and the table printed on the terminal. */
export interface BenchOutcome {
  readonly report: object;
  readonly table: string;
}
