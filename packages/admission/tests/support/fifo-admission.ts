import type {
  AdmissionDecision,
  AdmissionRequest,
} from '@daisyferry/admission/admission-controller';
import type { HomeAdmission } from './home-admission';

/** Baseline admission: a FIFO queue without bound, deadlines or cancellation. */
export class FifoAdmission implements HomeAdmission {
  private readonly waiting: string[] = [];

  private inFlight = 0;

  constructor(private readonly slots: number) {}

  offer(request: AdmissionRequest): readonly AdmissionDecision[] {
    this.waiting.push(request.callId);
    return this.admit();
  }

  finish(): readonly AdmissionDecision[] {
    this.inFlight--;
    return this.admit();
  }

  cancel(): readonly AdmissionDecision[] {
    return [];
  }

  tick(): readonly AdmissionDecision[] {
    return [];
  }

  nextWakeAtMs(): number | undefined {
    return undefined;
  }

  threshold(): number {
    return 4;
  }

  load(): number {
    return (this.inFlight + this.waiting.length) / this.slots;
  }

  private admit(): readonly AdmissionDecision[] {
    if (this.inFlight >= this.slots) return [];
    const callId = this.waiting.shift();
    if (callId === undefined) return [];
    this.inFlight++;
    return [{ kind: 'admitted', callId, queuedMs: 0 }];
  }
}
