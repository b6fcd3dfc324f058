/**
 * Prints the cost of admission decisions in ns. Run by hand:
 * `npx tsx packages/admission/tests/decision-cost.ts`.
 */
import { AdmissionController } from '@daisyferry/admission/admission-controller';
import { rootHashOf } from '@daisyferry/admission/priority';
import { ThresholdTracker } from '@daisyferry/admission/threshold-tracker';

const CALLS = 300_000;
const ROUNDS = 5;

function reportCost(name: string, run: () => void): void {
  const costsNs: number[] = [];
  for (let round = 0; round <= ROUNDS; round++) {
    const startNs = process.hrtime.bigint();
    run();
    costsNs.push(Number(process.hrtime.bigint() - startNs) / CALLS);
  }
  const measured = costsNs.slice(1).toSorted((left, right) => left - right);
  const shown = [measured[0], measured[Math.floor(ROUNDS / 2)], measured.at(-1)];
  process.stdout.write(`${name}: ${shown.map((ns) => (ns ?? 0).toFixed(0)).join(' / ')} ns\n`);
}

const limits = { queueDelayTargetMs: 20, maxQueueMs: 100, warmUpMs: 0 };

/** Offers calls at a multiple of the capacity of a target with 150 slots and 10 ms a call. */
function offerAndFinishCalls(demand: number): void {
  const controller = new AdmissionController({ slots: 150, limits, random: () => 0.5 }, 0);
  const running: { readonly callId: string; readonly endMs: number }[] = [];
  let head = 0;
  for (let call = 0; call < CALLS; call++) {
    const nowMs = call / (15 * demand);
    for (
      let next = running[head];
      next !== undefined && next.endMs <= nowMs;
      next = running[head]
    ) {
      head++;
      for (const decision of controller.finish(next.callId, { kind: 'completed' }, nowMs)) {
        if (decision.kind !== 'admitted') continue;
        running.push({ callId: decision.callId, endMs: nowMs + 10 });
      }
    }
    const rank = call % 10 === 0 ? 0 : 1;
    const rootHash = (call * 0.618_033_988_749) % 1;
    const request = { callId: `c${call}`, method: 'm', rank, rootHash, deadlineAtMs: nowMs + 500 };
    for (const decision of controller.offer({ ...request, rank }, nowMs)) {
      if (decision.kind !== 'admitted') continue;
      running.push({ callId: decision.callId, endMs: nowMs + 10 });
    }
  }
}

const thresholds = new ThresholdTracker();
for (let home = 0; home < 12; home++) thresholds.observe('pricing/quote', `home-${home}`, 1.5, 0);

process.stdout.write('minimum / median / maximum of five rounds\n');
reportCost('offer and finish at half the capacity', () => offerAndFinishCalls(0.5));
reportCost('offer and finish at three times the capacity', () => offerAndFinishCalls(3));
reportCost('entry verdict with twelve homes', () => {
  for (let call = 0; call < CALLS; call++) thresholds.admits('pricing/quote', 1, 0.4, 1);
});
reportCost('hash of a root', () => {
  for (let call = 0; call < CALLS; call++) rootHashOf('0123456789abcdef01234567');
});
