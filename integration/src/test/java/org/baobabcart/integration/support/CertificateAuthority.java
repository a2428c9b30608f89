package org.baobabcart.integration.support;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.io.Writer;
import java.math.BigInteger;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.GeneralSecurityException;
import java.security.KeyPair;
import java.security.KeyPairGenerator;
import java.security.PrivateKey;
import java.time.Duration;
import java.time.Instant;
import java.util.Date;
import java.util.Optional;
import org.baobabcart.router.transport.TlsFiles;
import org.bouncycastle.asn1.x500.X500Name;
import org.bouncycastle.asn1.x509.BasicConstraints;
import org.bouncycastle.asn1.x509.Extension;
import org.bouncycastle.asn1.x509.GeneralName;
import org.bouncycastle.asn1.x509.GeneralNames;
import org.bouncycastle.cert.X509CertificateHolder;
import org.bouncycastle.cert.X509v3CertificateBuilder;
import org.bouncycastle.cert.jcajce.JcaX509v3CertificateBuilder;
import org.bouncycastle.openssl.jcajce.JcaPEMWriter;
import org.bouncycastle.openssl.jcajce.JcaPKCS8Generator;
import org.bouncycastle.operator.OperatorCreationException;
import org.bouncycastle.operator.jcajce.JcaContentSignerBuilder;

/** Certificate authority that issues certificates for the loopback address into a directory. */
public final class CertificateAuthority {
    private static final Duration VALIDITY = Duration.ofDays(1);

    private final Path directory;
    private final String name;
    private final KeyPair keys = newKeys();
    private int issued;

    private CertificateAuthority(Path directory, String name) {
        this.directory = directory;
        this.name = name;
    }

    public static CertificateAuthority create(Path directory, String name) {
        CertificateAuthority authority = new CertificateAuthority(directory, name);
        authority.write("authority", authority.certificate(name, authority.keys, true));
        return authority;
    }

    /** Issues a certificate to a node that trusts the given authority. Returns the TLS files of the node. */
    public TlsFiles issue(String subject, CertificateAuthority trusted) {
        KeyPair subjectKeys = newKeys();
        String certificate = write(subject, certificate(subject, subjectKeys, false));
        String key = write(subject + "-key", privateKey(subjectKeys.getPrivate()));
        return new TlsFiles(
                Optional.of(certificate), Optional.of(key), Optional.of(trusted.file()), Optional.of(trusted.file()));
    }

    public String file() {
        return path("authority").toString();
    }

    private X509CertificateHolder certificate(String subject, KeyPair subjectKeys, boolean authority) {
        try {
            Instant now = Instant.now();
            issued++;
            X509v3CertificateBuilder builder = new JcaX509v3CertificateBuilder(
                    new X500Name("CN=" + name),
                    BigInteger.valueOf(issued),
                    Date.from(now.minus(VALIDITY)),
                    Date.from(now.plus(VALIDITY)),
                    new X500Name("CN=" + subject),
                    subjectKeys.getPublic());
            builder.addExtension(Extension.basicConstraints, true, new BasicConstraints(authority));
            GeneralName loopback = new GeneralName(GeneralName.iPAddress, "127.0.0.1");
            builder.addExtension(Extension.subjectAlternativeName, false, new GeneralNames(loopback));
            return builder.build(new JcaContentSignerBuilder("SHA256withECDSA").build(keys.getPrivate()));
        } catch (IOException | OperatorCreationException exception) {
            throw new IllegalStateException(exception);
        }
    }

    private static JcaPKCS8Generator privateKey(PrivateKey key) {
        try {
            return new JcaPKCS8Generator(key, null);
        } catch (IOException exception) {
            throw new UncheckedIOException(exception);
        }
    }

    private static KeyPair newKeys() {
        try {
            KeyPairGenerator generator = KeyPairGenerator.getInstance("EC");
            generator.initialize(256);
            return generator.generateKeyPair();
        } catch (GeneralSecurityException exception) {
            throw new IllegalStateException(exception);
        }
    }

    private String write(String file, Object content) {
        Path path = path(file);
        try (Writer text = Files.newBufferedWriter(path);
                JcaPEMWriter writer = new JcaPEMWriter(text)) {
            writer.writeObject(content);
        } catch (IOException exception) {
            throw new UncheckedIOException(exception);
        }
        return path.toString();
    }

    private Path path(String file) {
        return directory.resolve(name + "-" + file + ".pem");
    }
}
