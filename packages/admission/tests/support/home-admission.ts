import type {
  AdmissionDecision,
  AdmissionRequest,
  FinishReport,
} from '@daisyferry/admission/admission-controller';

/** Admission of one home as the chain uses it: the real controller or the baseline. */
export interface HomeAdmission {
  offer(request: AdmissionRequest, nowMs: number): readonly AdmissionDecision[];
  finish(callId: string, report: FinishReport, nowMs: number): readonly AdmissionDecision[];
  cancel(callId: string, nowMs: number): readonly AdmissionDecision[];
  tick(nowMs: number): readonly AdmissionDecision[];
  nextWakeAtMs(): number | undefined;
  threshold(nowMs: number): number;
  load(): number;
}
