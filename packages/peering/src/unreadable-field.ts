/** Ends the reading of a value at its first field that cannot be read. */
export class UnreadableField extends Error {}
