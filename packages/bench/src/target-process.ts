import { writeFileSync } from 'node:fs';
import path from 'node:path';
import { request } from 'undici';
import type { ProcessGroup } from './process-group';
import type { StartedProcess } from './started-process';
import type {
  SpeedChange,
  StandInTargetPlan,
  TargetProcessListeningLine,
  TargetProcessPlan,
} from './stand-in-target-plan';

/** A process of stand-in targets that the bench starts and controls. */
export class TargetProcess {
  private process: StartedProcess | undefined;

  private listening: TargetProcessListeningLine['listening'] = { control: 0, targets: {} };

  private startCount = 0;

  constructor(
    readonly name: string,
    private readonly plan: TargetProcessPlan,
    private readonly program: string,
    private readonly folder: string,
    private readonly group: ProcessGroup,
  ) {}

  /** Starts the process; a restart reuses its ports. */
  async start(): Promise<void> {
    this.startCount += 1;
    const file = path.join(this.folder, `${this.name}.${this.startCount}.targets.json`);
    writeFileSync(file, JSON.stringify({ ...this.plan, targets: this.targetsOnKnownPorts() }));
    this.process = this.group.start(this.name, this.program, ['stand-in-target', file]);
    const line = await this.process.firstLineWith<TargetProcessListeningLine>('listening');
    this.listening = line.listening;
  }

  get targets(): readonly StandInTargetPlan[] {
    return this.plan.targets;
  }

  get lastErrors(): string {
    return this.process?.lastErrors ?? '';
  }

  urlOf(target: string): string {
    return `http://127.0.0.1:${this.listening.targets[target] ?? 0}`;
  }

  async setSpeed(change: SpeedChange): Promise<void> {
    const response = await request(`http://127.0.0.1:${this.listening.control}/speed`, {
      method: 'POST',
      headers: { 'content-type': 'application/json' },
      body: JSON.stringify(change),
    });
    await response.body.dump();
  }

  signal(name: NodeJS.Signals): void {
    this.process?.signal(name);
  }

  async stop(): Promise<void> {
    await this.process?.stop();
  }

  private targetsOnKnownPorts(): readonly StandInTargetPlan[] {
    return this.plan.targets.map((target) => ({
      ...target,
      port: this.listening.targets[target.name] ?? target.port,
    }));
  }
}
