import type { DaemonRecord } from './daemon-record';
import type { FleetDirectory } from './fleet-directory';
import { requestRank } from './request-rank';

/** Expected links to daemons of the own data centre, for control and for calls. */
const LOCAL_LINKS = 64;
/** Expected links to daemons of other data centres, by which configurations spread. */
const REMOTE_CONTROL_LINKS = 4;
/** Homes of a service that calls are made to, over all data centres. */
const HOMES_PER_SERVICE = 8;

export interface LinkPlanOptions {
  readonly ownDaemonId: string;
  readonly ownZone: string;
  /** True while this daemon follows the store and reports to its data centre. */
  readonly isReading: () => boolean;
  /** True if calls to the service have been made from here. */
  readonly isServiceUsed: (service: string) => boolean;
}

/**
 * Decides which daemons a connection is kept to, so that the number of links is bounded while the
 * fleet grows: those of the own data centre, and of other data centres a few for control and as
 * many homes as are missing for each service in use. Other homes are connected when a call is sent
 * to them. Each pair of daemons draws a number that both know, so that the links of a lost daemon
 * are spread evenly over the others. Load that it answers: a fleet of hundreds that starts at once.
 */
export class LinkPlan {
  private readonly pairRanks = new Map<string, number>();

  constructor(
    private readonly directory: FleetDirectory,
    private readonly options: LinkPlanOptions,
  ) {}

  isWanted(record: DaemonRecord): boolean {
    const { daemonId, zone, target } = record;
    const { ownZone, isReading, isServiceUsed } = this.options;
    const rank = this.pairRank(daemonId);
    const localCount = this.directory.zoneSize(ownZone);
    if (zone === ownZone) return isReading() || rank * localCount < LOCAL_LINKS;
    // The daemons that follow the store read the configuration for each other.
    if (isReading() && this.directory.isFirstOfZone(record)) return true;
    const remoteCount = this.directory.size - localCount;
    if (rank * remoteCount < REMOTE_CONTROL_LINKS) return true;
    if (target?.isServing !== true || !isServiceUsed(target.service)) return false;
    const homes = this.directory.servingRecords(target.service);
    const localHomes = this.directory.localServingCount(target.service, ownZone);
    return rank * (homes.length - localHomes) < HOMES_PER_SERVICE - localHomes;
  }

  remove(daemonId: string): void {
    this.pairRanks.delete(daemonId);
  }

  private pairRank(daemonId: string): number {
    const present = this.pairRanks.get(daemonId);
    if (present !== undefined) return present;
    const { ownDaemonId } = this.options;
    const [first, second] =
      ownDaemonId < daemonId ? [ownDaemonId, daemonId] : [daemonId, ownDaemonId];
    const rank = requestRank(`${first} ${second}`);
    this.pairRanks.set(daemonId, rank);
    return rank;
  }
}
