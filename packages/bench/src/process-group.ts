import { spawn } from 'node:child_process';
import { processUsage } from './process-usage';
import { StartedProcess } from './started-process';

export interface StartOptions {
  /** Environment variables in addition to those of this process. */
  readonly variables?: Readonly<Record<string, string>>;
  readonly nodeFlags?: readonly string[];
}

const DEFAULT_NODE_FLAGS = ['--max-old-space-size=512'];

/** All processes that this program started. It signals no other process. */
export class ProcessGroup {
  private readonly processes: StartedProcess[] = [];

  /**
   * @param profileFolder Folder for the CPU profiles of all started processes; none are written if
   * absent.
   */
  constructor(private readonly profileFolder?: string) {
    process.once('exit', () => this.killAll());
  }

  /** Starts a Node.js program of this project. */
  start(
    name: string,
    file: string,
    args: readonly string[],
    { variables = {}, nodeFlags = DEFAULT_NODE_FLAGS }: StartOptions = {},
  ): StartedProcess {
    const { profileFolder } = this;
    const profilingFlags =
      profileFolder === undefined ? [] : ['--cpu-prof', `--cpu-prof-dir=${profileFolder}/${name}`];
    const nodeArgs = [...nodeFlags, ...profilingFlags];
    const child = spawn(process.execPath, [...nodeArgs, file, ...args], {
      stdio: ['ignore', 'pipe', 'pipe'],
      env: { ...process.env, ...variables },
    });
    const startedProcess = new StartedProcess(name, child);
    this.processes.push(startedProcess);
    return startedProcess;
  }

  get runningCount(): number {
    return this.processes.filter(({ running }) => running).length;
  }

  /** CPU time in ms that each running process has used so far, by name. */
  cpuMsByProcess(): Readonly<Record<string, number>> {
    const running = this.processes.filter((startedProcess) => startedProcess.running);
    return Object.fromEntries(
      running.map(({ name, pid }) => [name, processUsage(pid)?.cpuMs ?? 0]),
    );
  }

  async stopAll(): Promise<void> {
    await Promise.all(this.processes.map((startedProcess) => startedProcess.stop()));
  }

  private killAll(): void {
    for (const startedProcess of this.processes) startedProcess.signal('SIGKILL');
  }
}
