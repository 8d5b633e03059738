package org.chicorylane.internal.settings;

import java.nio.file.Path;

/**
 * The files of the TLS certificate for callers.
 *
 * @param certificate the certificate chain in PEM format
 * @param key the private key in PEM format, PKCS #8, without a password
 */
public record TlsFiles(Path certificate, Path key) {}
