import { FleetDirectory } from '@daisyferry/mesh/fleet-directory';
import { TargetChooser } from '@daisyferry/mesh/target-chooser';
import { TargetNoticeTable } from '@daisyferry/mesh/target-notice-table';
import { SocketAddress } from '@daisyferry/mesh/socket-address';
import {
  ReplayedHome,
  type ReplayedCall,
  type ReplayedHomeOptions,
  type ReplayedOutcome,
  type TargetBehaviour,
} from './replayed-home';
import { seededRandom } from './seeded-random';
import type { VirtualEvents } from './virtual-events';

const ONE_WAY_MS = 1;

export interface ReplayedServiceOptions extends ReplayedHomeOptions {
  readonly targets: readonly TargetBehaviour[];
  readonly entries: number;
  readonly seed: number;
}

/** A service whose entries and homes make the decisions of the product on virtual time. */
export class ReplayedService {
  readonly homes: readonly ReplayedHome[];

  private readonly choosers: readonly TargetChooser[];

  private readonly random: () => number;

  constructor(
    private readonly events: VirtualEvents,
    { targets, entries, seed, ...homeOptions }: ReplayedServiceOptions,
  ) {
    const { slots } = homeOptions;
    this.random = seededRandom(seed);
    const { random } = this;
    const directory = new FleetDirectory();
    this.homes = targets.map((behaviour, index) => {
      const daemonId = String(index);
      const target = { targetId: daemonId, service: 's', slots, isServing: true, coldMs: 0 };
      const place = { address: new SocketAddress('10.0.0.1', 1), zone: 'z', isLeaving: false };
      const record = { daemonId, incarnation: 1, revision: 1, ...place, target };
      directory.applyRecord(record, 'stored', 0);
      directory.setConnected(daemonId, true, 0);
      return new ReplayedHome(events, behaviour, random, homeOptions);
    });
    const notices = new TargetNoticeTable();
    const options = { ownZone: 'z', maxCandidates: 12, notices };
    this.choosers = Array.from(
      { length: entries },
      () => new TargetChooser(directory, options, random),
    );
  }

  /** Sends a call from a random entry to the target that it chooses. */
  call(call: ReplayedCall, done: (outcome: ReplayedOutcome, home: ReplayedHome) => void): void {
    const { events } = this;
    const chooser = this.choosers[Math.floor(this.random() * this.choosers.length)];
    const { route, usefulMs } = call;
    const query = { service: 's', route, usefulMs, excluded: new Set<string>() };
    const choice = chooser?.choose(query, events.nowMs);
    if (chooser === undefined || choice?.kind !== 'chosen') throw new Error('no target');
    const { expectedMs, record } = choice;
    const { daemonId } = record;
    const pending = { sentAtMs: events.nowMs, expectedMs, isNested: false };
    const home = this.homes[Number(daemonId)] as ReplayedHome;
    chooser.recordSent(daemonId, pending);
    events.after(ONE_WAY_MS, () =>
      home.submit(call, (outcome, load) =>
        events.after(ONE_WAY_MS, () => {
          // Refusals of targets were failures before homes reported them.
          const isOld = outcome === 'turnedAway' && load.refusedShare === undefined;
          const counted = isOld ? 'failed' : outcome;
          chooser.recordEnded(daemonId, route, load, counted, events.nowMs, pending);
          done(outcome, home);
        }),
      ),
    );
  }
}
