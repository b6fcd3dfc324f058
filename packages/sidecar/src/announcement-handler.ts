import type { AnnouncedTarget } from '@daisyferry/mesh/announced-target';
import type { TargetAnnouncement } from '@daisyferry/mesh/daemon-record';
import type { ControlResponse, ControlRequest } from './control-listener';
import type { EventLog } from './event-log';

/** Decodes the platform's messages about a target; malformed input throws a decode error. */
export interface AnnouncementDecoder {
  isDecodeError(error: unknown): boolean;
  targetIdOfPath(path: string): string | undefined;
  decodeAnnouncement(targetId: string, text: string): TargetAnnouncement;
  decodeDeregistrationBornUnixMs(text: string): number | undefined;
}

export interface AnnouncementHandlerParts {
  readonly target: AnnouncedTarget;
  readonly decoder: AnnouncementDecoder;
  readonly isKnownService: (service: string) => boolean;
  /** Called when the target's state has changed in a way that other daemons must learn. */
  readonly onChange: (isServing: boolean) => void;
  /** Called when another incarnation of the target has taken the place of the present one. */
  readonly onReplaced: (wasEndExpected: boolean) => void;
  /** Called when a message cannot be read. */
  readonly onRejected: () => void;
  /** Resolves once the store has the target's state; with false if it does not take it soon. */
  readonly whenStored: () => Promise<boolean>;
  /** Resolves once the store or another process has it; with false if neither can be told soon. */
  readonly whenKnown: () => Promise<boolean>;
  readonly log: EventLog;
  readonly clock: () => number;
}

/** Maximum number of characters of a path that are logged. */
const MAX_LOGGED_PATH_LENGTH = 200;
const OK: ControlResponse = { status: 200, text: '{}' };

function errorResponse(status: number, error: string): ControlResponse {
  return { status, text: JSON.stringify({ error }) };
}

const NOT_RECORDED = errorResponse(503, 'departure: not recorded yet');

type Applied =
  | {
      readonly kind: 'applied';
      /** True if the target states that it drains or has left. */
      readonly statesEnd: boolean;
    }
  | { readonly kind: 'refused'; readonly response: ControlResponse };

function refused(status: number, error: string): Applied {
  return { kind: 'refused', response: errorResponse(status, error) };
}

/** Handles announcements and deregistrations of the local target. */
export class AnnouncementHandler {
  constructor(private readonly parts: AnnouncementHandlerParts) {}

  /**
   * Acknowledges a departure once the store has it: connected peers and this daemon may all end
   * while the store is away. An end that the message does not state is only kept if possible.
   */
  handle(request: ControlRequest): ControlResponse | Promise<ControlResponse> {
    const { target, whenStored, whenKnown } = this.parts;
    const { otherEndedCount } = target;
    const applied = this.apply(request);
    if (applied.kind === 'refused') return applied.response;
    if (applied.statesEnd) return this.acknowledgeOnce(whenStored());
    const impliesEnd = target.isEndExpected || target.otherEndedCount !== otherEndedCount;
    return impliesEnd ? this.acknowledgeOnce(whenKnown()) : OK;
  }

  private async acknowledgeOnce(recorded: Promise<boolean>): Promise<ControlResponse> {
    if (await recorded) return OK;
    const { target, log } = this.parts;
    const { targetId } = target.announcement ?? {};
    log.decision('end of a target not acknowledged, as it is not recorded', { targetId });
    return NOT_RECORDED;
  }

  private apply({ method, path, text }: ControlRequest): Applied {
    try {
      const targetId = this.parts.decoder.targetIdOfPath(path);
      if (targetId === undefined) return refused(404, 'path: not known here');
      if (method === 'PUT') return this.announce(targetId, text);
      if (method === 'DELETE') return this.deregister(targetId, text);
      return refused(405, 'method: PUT or DELETE expected');
    } catch (error) {
      if (!this.parts.decoder.isDecodeError(error)) throw error;
      this.parts.onRejected();
      this.parts.log.decision('announcement rejected', {
        path: path.slice(0, MAX_LOGGED_PATH_LENGTH),
        error: String(error),
      });
      return refused(400, String(error));
    }
  }

  private announce(targetId: string, text: string): Applied {
    const { target, decoder, isKnownService, onChange, onReplaced, log, clock } = this.parts;
    const announcement = decoder.decodeAnnouncement(targetId, text);
    if (!isKnownService(announcement.service)) {
      log.decision('announcement rejected: unknown service', {
        targetId,
        service: announcement.service,
      });
      return refused(400, 'service: not known');
    }
    const applied: Applied = { kind: 'applied', statesEnd: announcement.isDraining };
    const wasEndExpected = target.isEndExpected;
    const { otherEndedCount } = target;
    const result = target.applyAnnouncement(announcement, clock());
    if (result.kind === 'stale') {
      log.decision('stale announcement ignored', { targetId, reason: result.reason });
      if (target.otherEndedCount !== otherEndedCount) onChange(target.isServing);
      return applied;
    }
    // A target that does not serve, as it does not respond, may state its departure, too.
    if (result.isChange || target.isEndExpected !== wasEndExpected) {
      const { service, sequence, bornUnixMs, slots, coldMs } = announcement;
      const { isServing } = target;
      const fields = { targetId, service, sequence, bornUnixMs, slots, coldMs, isServing };
      log.stateChange('target announced', fields);
      if (result.isNewIncarnation) onReplaced(wasEndExpected);
      onChange(isServing);
    }
    return applied;
  }

  private deregister(targetId: string, text: string): Applied {
    const { target, decoder, onChange, log } = this.parts;
    const { isEndExpected, otherEndedCount } = target;
    const isChange = target.deregister(targetId, decoder.decodeDeregistrationBornUnixMs(text));
    log.stateChange('target deregistered', { targetId, isChange });
    const isNews =
      target.isEndExpected !== isEndExpected || target.otherEndedCount !== otherEndedCount;
    if (isChange || isNews) onChange(target.isServing);
    return { kind: 'applied', statesEnd: true };
  }
}
