import type { LocalTarget } from '@daisyferry/mesh/local-target';
import type { TargetAnnouncement } from '@daisyferry/mesh/daemon-record';
import type { ControlAnswer, ControlRequest } from './control-listener';
import type { EventLog } from './event-log';

/** Reads the platform's messages of a target; each throws on what it cannot read. */
export interface AnnouncementDecoder {
  targetIdOfPath(path: string): string | undefined;
  decodeAnnouncement(targetId: string, text: string): TargetAnnouncement;
  decodeDeregistrationBornUnixMs(text: string): number | undefined;
}

export interface AnnouncementDeskParts {
  readonly target: LocalTarget;
  readonly decoder: AnnouncementDecoder;
  readonly isKnownService: (service: string) => boolean;
  /** The target's state has changed in a way that others must know. */
  readonly onChange: (isServing: boolean) => void;
  readonly log: EventLog;
  readonly clock: () => number;
}

const OK: ControlAnswer = { status: 200, text: '{}' };

function rejected(status: number, error: string): ControlAnswer {
  return { status, text: JSON.stringify({ error }) };
}

/** Takes the announcements of the target beside the daemon. */
export class AnnouncementDesk {
  constructor(private readonly parts: AnnouncementDeskParts) {}

  handle(request: ControlRequest): ControlAnswer {
    const targetId = this.parts.decoder.targetIdOfPath(request.path);
    if (targetId === undefined) return rejected(404, 'path: not known here');
    try {
      if (request.method === 'PUT') return this.announce(targetId, request.text);
      if (request.method === 'DELETE') return this.leave(targetId, request.text);
    } catch (error) {
      this.parts.log.decision('announcement refused', { targetId, error: String(error) });
      return rejected(400, String(error));
    }
    return rejected(405, 'method: PUT or DELETE expected');
  }

  private announce(targetId: string, text: string): ControlAnswer {
    const { target, decoder, isKnownService, onChange, log, clock } = this.parts;
    const announcement = decoder.decodeAnnouncement(targetId, text);
    if (!isKnownService(announcement.service)) {
      log.decision('announcement refused', { targetId, service: announcement.service });
      return rejected(400, 'service: not known');
    }
    const verdict = target.announce(announcement, clock());
    if (verdict.kind === 'stale') {
      log.decision('announcement ignored', { targetId, reason: verdict.reason });
      return OK;
    }
    if (verdict.isChange) {
      const { service, sequence, bornUnixMs, slots, coldMs } = announcement;
      const { isServing } = target;
      const inputs = { targetId, service, sequence, bornUnixMs, slots, coldMs, isServing };
      log.belief('target announced', inputs);
      onChange(isServing);
    }
    return OK;
  }

  private leave(targetId: string, text: string): ControlAnswer {
    const { target, decoder, onChange, log } = this.parts;
    const isChange = target.leave(targetId, decoder.decodeDeregistrationBornUnixMs(text));
    log.belief('target leaves', { targetId, isChange });
    if (isChange) onChange(false);
    return OK;
  }
}
