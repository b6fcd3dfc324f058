/** Violated invariant of admission, for example two unfinished calls with the same identifier. */
export class AdmissionError extends Error {
  override readonly name = 'AdmissionError';
}
