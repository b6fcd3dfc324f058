import callChart from '@daisyferry/charts/call.chart.json';
import { Chart } from '@daisyferry/charts/chart';

/** States of `call.chart.json` that the execution records refer to. */
export const CallState = {
  claimed: 'claimed',
  running: 'running',
  refused: 'refused',
  answered: 'answered',
  answerDropped: 'answerDropped',
  unknown: 'unknown',
} as const;

/** Events of `call.chart.json`. */
export const CallEvent = {
  handOver: 'HAND_OVER',
  refuse: 'REFUSE',
  answer: 'ANSWER',
  lose: 'LOSE',
  targetShed: 'TARGET_SHED',
  dropAnswer: 'DROP_ANSWER',
} as const;

export type CallEventName = (typeof CallEvent)[keyof typeof CallEvent];

/** Loads the state chart of a call from its file. */
export function loadCallChart(): Chart {
  return new Chart(callChart);
}
