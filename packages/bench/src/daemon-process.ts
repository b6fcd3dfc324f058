import type { DaemonSettingsInput } from '@daisyferry/settings/daemon-settings';
import { LocalPath, type TargetStatus } from '@daisyferry/model/local-api';
import { writeFileSync } from 'node:fs';
import path from 'node:path';
import { request } from 'undici';
import { BenchAdminClient } from './bench-admin-client';
import type { ProcessGroup } from './process-group';
import type { StartedProcess } from './started-process';

/** Ports that a daemon prints after it has bound its listeners. */
export interface BoundDaemonPorts {
  readonly callers: number;
  readonly local: number;
  readonly peers: number;
  readonly gossip: number;
  readonly admin: number;
}

interface DaemonListeningLine {
  readonly listening: BoundDaemonPorts;
}

/** Settings that differ between the daemons of a run. */
export interface DaemonPlan {
  readonly name: string;
  readonly service: string;
  readonly dataCentre: string;
  readonly region: string;
  readonly slots: number;
  readonly connections: number;
  readonly storeUrls: readonly string[];
  readonly mode: 'full' | 'passThrough';
  readonly disabledMechanisms: readonly string[];
  readonly sampleRatio: number;
}

const LOOPBACK = '127.0.0.1';
const EPHEMERAL_PORTS: BoundDaemonPorts = { callers: 0, local: 0, peers: 0, gossip: 0, admin: 0 };

function daemonSettings(
  plan: DaemonPlan,
  ports: BoundDaemonPorts,
  seedPorts: readonly number[],
): DaemonSettingsInput {
  return {
    name: plan.name,
    cluster: 'bench',
    service: plan.service,
    dataCentre: plan.dataCentre,
    region: plan.region,
    slots: plan.slots,
    connections: plan.connections,
    listeners: {
      callers: { address: LOOPBACK, port: ports.callers },
      local: { address: LOOPBACK, port: ports.local },
      peers: { address: LOOPBACK, port: ports.peers },
      gossip: { address: LOOPBACK, port: ports.gossip },
      admin: { address: LOOPBACK, port: ports.admin },
    },
    store: { endpoints: [...plan.storeUrls] },
    seeds: seedPorts.map((port) => ({ address: LOOPBACK, port })),
    timeline: { sampleRatio: plan.sampleRatio },
    mode: plan.mode,
    disabledMechanisms: [...plan.disabledMechanisms],
    logLevel: 'warn',
  };
}

/** One daemon process of a run. A restart reuses its ports. */
export class DaemonProcess {
  private ports = EPHEMERAL_PORTS;

  private process: StartedProcess | undefined;

  private startCount = 0;

  constructor(
    readonly plan: DaemonPlan,
    private readonly program: string,
    private readonly folder: string,
    private readonly group: ProcessGroup,
  ) {}

  /**
   * Starts the daemon; `seedPorts` are gossip ports of other daemons, needed while the store is
   * down.
   */
  async start(seedPorts: readonly number[] = []): Promise<void> {
    this.startCount += 1;
    const file = path.join(this.folder, `${this.plan.name}.${this.startCount}.settings.json`);
    writeFileSync(file, JSON.stringify(daemonSettings(this.plan, this.ports, seedPorts), null, 2));
    this.process = this.group.start(this.plan.name, this.program, ['--settings', file]);
    const { listening } = await this.process.firstLineWith<DaemonListeningLine>('listening');
    this.ports = listening;
  }

  get callersUrl(): string {
    return `http://${LOOPBACK}:${this.ports.callers}`;
  }

  get localUrl(): string {
    return `http://${LOOPBACK}:${this.ports.local}`;
  }

  get adminUrl(): string {
    return `http://${LOOPBACK}:${this.ports.admin}`;
  }

  get admin(): BenchAdminClient {
    return new BenchAdminClient(this.adminUrl);
  }

  get gossipPort(): number {
    return this.ports.gossip;
  }

  get pid(): number {
    return this.process?.pid ?? 0;
  }

  get isRunning(): boolean {
    return this.process?.running ?? false;
  }

  get lastErrors(): string {
    return this.process?.lastErrors ?? '';
  }

  /** Returns whether the target has left and no call is in flight, as the daemon reports it. */
  async targetHasLeft(): Promise<boolean> {
    const response = await request(`${this.localUrl}${LocalPath.state}`);
    const status = (await response.body.json()) as TargetStatus;
    return status.state === 'left';
  }

  async waitForExit(): Promise<number | null> {
    return this.process?.exited ?? null;
  }

  signal(name: NodeJS.Signals): void {
    this.process?.signal(name);
  }

  async stop(graceMs?: number): Promise<void> {
    await this.process?.stop(graceMs);
  }
}
