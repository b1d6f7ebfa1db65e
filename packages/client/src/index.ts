/** The caller library. */
export {};
