import type {
  CrashEvidence,
  CrashSuspects,
  SuspectDecision,
} from '@daisyferry/mesh/crash-suspects';
import { requestFingerprint, type FingerprintInput } from './request-fingerprint';

/**
 * What is known of one request as a cause of crashes. The fingerprint is calculated only once some
 * request is suspected.
 */
export class RequestSuspicion {
  private knownFingerprint: string | undefined;

  constructor(
    private readonly request: FingerprintInput,
    private readonly suspects: CrashSuspects,
  ) {}

  get fingerprint(): string {
    this.knownFingerprint ??= requestFingerprint(this.request);
    return this.knownFingerprint;
  }

  decide(nowMs: number): SuspectDecision {
    const { suspects } = this;
    return suspects.isEmpty ? { kind: 'free' } : suspects.decide(this.fingerprint, nowMs);
  }

  /** Crashes that the request is suspected of; undefined without any. */
  get evidence(): CrashEvidence | undefined {
    if (this.suspects.isEmpty) return undefined;
    const evidence = this.suspects.evidenceOf(this.fingerprint);
    return evidence.crashes > 0 ? evidence : undefined;
  }

  /** True if the request is not sent to another target by the entry itself. */
  get isRetryBarred(): boolean {
    return !this.suspects.isEmpty && this.suspects.isRetryBarred(this.fingerprint);
  }

  /** Applies what the home knows of the request, whose target crashed while it ran. */
  learn(evidence: CrashEvidence, nowMs: number): void {
    this.suspects.learn(this.fingerprint, evidence, nowMs);
  }
}
